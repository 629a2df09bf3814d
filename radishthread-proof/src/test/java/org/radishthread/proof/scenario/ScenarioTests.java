package org.radishthread.proof.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs each script under {@code scenarios} with processes of its own.
 */
class ScenarioTests {

	private static final Path SCRIPTS = Path.of("src/test/resources/scenarios");

	@TestFactory
	List<DynamicTest> scenarios() throws IOException {
		String wanted = System.getProperty("scenario", "");
		try (Stream<Path> scripts = Files.list(SCRIPTS)) {
			return scripts.sorted()
				.filter((script) -> script.toString().contains(wanted))
				.map((script) -> DynamicTest.dynamicTest(script.getFileName().toString(), () -> run(script)))
				.toList();
		}
	}

	private static void run(Path script) throws Exception {
		Path folder = Path.of("target", "scenarios", script.getFileName().toString()).toAbsolutePath();
		Files.createDirectories(folder);
		new Scenario(Files.createTempDirectory(folder, "run")).run(Files.readAllLines(script));
	}

}
