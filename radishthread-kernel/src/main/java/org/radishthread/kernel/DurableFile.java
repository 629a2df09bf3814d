package org.radishthread.kernel;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces small files as a whole: after a loss of power a file holds its former or its
 * new content, never a part.
 */
public final class DurableFile {

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private DurableFile() {
	}

	/**
	 * Replaces a file and returns when the new content is durable.
	 * @param folder the folder, which exists
	 * @param name the name of the file
	 * @param content the new content
	 * @throws IOException if the file can not be written
	 */
	public static void replace(Path folder, String name, byte[] content) throws IOException {
		Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			ByteBuffer buffer = ByteBuffer.wrap(content);
			while (buffer.hasRemaining()) {
				channel.write(buffer);
			}
			channel.force(true);
		}
		Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
		try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
			directory.force(true);
		}
	}

}
