package org.radishthread.daemon.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.protocol.UpstreamRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamStore}.
 */
class UpstreamStoreTests {

	private static final UpstreamRecord UPSTREAM = UpstreamRecord.newBuilder().setName("upstream-1").build();

	@TempDir
	private Path folder;

	private Path file() {
		return this.folder.resolve("upstreams");
	}

	private void awaitFile() throws InterruptedException {
		for (int i = 0; i < 200 && !Files.exists(file()); i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	@Nested
	class Load {

		@Test
		void returnsStoredUpstreams() throws InterruptedException {
			new UpstreamStore(UpstreamStoreTests.this.folder).upstreamsChanged(List.of(UPSTREAM));
			awaitFile();
			assertThat(new UpstreamStore(UpstreamStoreTests.this.folder).load()).containsExactly(UPSTREAM);
		}

		@Test
		void returnsNoUpstreamsIfFileIsMissingOrCorrupt() throws IOException {
			UpstreamStore store = new UpstreamStore(UpstreamStoreTests.this.folder);
			assertThat(store.load()).isEmpty();
			Files.write(file(), new byte[] { 0x7f, 0x01, 0x02 });
			assertThat(store.load()).isEmpty();
		}

	}

}
