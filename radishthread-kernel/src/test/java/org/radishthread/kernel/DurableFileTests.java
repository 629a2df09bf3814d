package org.radishthread.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DurableFile}.
 */
class DurableFileTests {

	@TempDir
	private Path directory;

	private final List<Path> syncedFolders = new ArrayList<>();

	// Guards against a control instance that loses its identity and its log with their
	// folder when power fails.
	@Test
	void nameOfEachCreatedFolderIsSynced() throws IOException {
		Path data = this.directory.resolve("data");
		Path control = data.resolve("control");
		DurableFile.createFolders(control, this.syncedFolders::add);
		assertThat(control).isDirectory();
		assertThat(this.syncedFolders).containsExactly(this.directory, data);
	}

	@Test
	void nameOfAnExistingFolderIsSynced() throws IOException {
		Path control = this.directory.resolve("control");
		Files.createDirectory(control);
		DurableFile.createFolders(control, this.syncedFolders::add);
		assertThat(this.syncedFolders).containsExactly(this.directory);
	}

	@Test
	void foldersAreCreatedOnDisk() throws IOException {
		Path control = this.directory.resolve("data").resolve("control");
		DurableFile.createFolders(control);
		DurableFile.replace(control, "identity", new byte[] { 1 });
		assertThat(control.resolve("identity")).hasBinaryContent(new byte[] { 1 });
	}

}
