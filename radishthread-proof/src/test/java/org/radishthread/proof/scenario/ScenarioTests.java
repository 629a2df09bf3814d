package org.radishthread.proof.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs each file under {@code scenarios} with its own instance processes. The system
 * property {@code scenario} selects files by a part of their path.
 */
class ScenarioTests {

	private static final Path SCENARIO_FOLDER = Path.of("src/test/resources/scenarios");

	@TestFactory
	List<DynamicTest> scenarios() throws IOException {
		String nameFilter = System.getProperty("scenario", "");
		try (Stream<Path> files = Files.list(SCENARIO_FOLDER)) {
			return files.sorted()
				.filter((file) -> file.toString().contains(nameFilter))
				.map((file) -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> run(file)))
				.toList();
		}
	}

	private static void run(Path file) throws Exception {
		Path outputFolder = Path.of("target", "scenarios", file.getFileName().toString()).toAbsolutePath();
		Files.createDirectories(outputFolder);
		new ScenarioRunner(Files.createTempDirectory(outputFolder, "run")).run(Files.readAllLines(file));
	}

}
