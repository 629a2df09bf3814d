package org.radishthread.kernel;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces the content of small files atomically and durably. After a power failure a
 * file has either its previous or its new content, never a part of it.
 */
public final class DurableFile {

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private DurableFile() {
	}

	/**
	 * Creates a folder with its parents, as far as they are missing, and returns when
	 * their names are durable. Names that exist already may be those of a process that
	 * stopped before they were durable, so the name of the folder itself is always
	 * synced.
	 * @param folder the folder
	 * @throws IOException if a folder cannot be created
	 */
	public static void createFolders(Path folder) throws IOException {
		createFolders(folder, DurableFile::syncFolder);
	}

	static void createFolders(Path folder, FolderSync folderSync) throws IOException {
		Path parent = folder.toAbsolutePath().getParent();
		if (parent == null) {
			return;
		}
		if (!Files.exists(parent)) {
			createFolders(parent, folderSync);
		}
		Files.createDirectories(folder);
		folderSync.sync(parent);
	}

	private static void syncFolder(Path folder) throws IOException {
		try (FileChannel folderChannel = FileChannel.open(folder, StandardOpenOption.READ)) {
			folderChannel.force(true);
		}
	}

	/**
	 * Creates or replaces a file and returns when the new content is durable.
	 * @param folder the folder, which must exist
	 * @param name the name of the file
	 * @param content the new content
	 * @throws IOException if the file cannot be written
	 */
	public static void replace(Path folder, String name, byte[] content) throws IOException {
		Path temporaryFile = folder.resolve(name + TEMPORARY_SUFFIX);
		try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			ByteBuffer buffer = ByteBuffer.wrap(content);
			while (buffer.hasRemaining()) {
				channel.write(buffer);
			}
			channel.force(true);
		}
		Files.move(temporaryFile, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
		syncFolder(folder);
	}

	/**
	 * Makes the names in a folder durable.
	 */
	@FunctionalInterface
	interface FolderSync {

		/**
		 * Returns when all names in a folder are on disk.
		 * @param folder the folder
		 * @throws IOException if the disk refuses
		 */
		void sync(Path folder) throws IOException;

	}

}
