import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a case records what was sent, answered and run. */
final class Record {

	private final PrintWriter writer;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void write(String format, Object... arguments) {
		String line = String.format("%9.3f %s", (System.nanoTime() - this.startNanos) / 1e9,
				String.format(format, arguments));
		this.writer.println(line);
	}

}
