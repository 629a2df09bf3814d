package org.radishthread.daemon.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.membership.UpstreamSnapshot;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamStore}.
 */
class UpstreamStoreTests {

	private static final UpstreamRecord UPSTREAM = UpstreamRecord.newBuilder().setName("upstream-1").build();

	private static final long TIMEOUT_SECONDS = 10;

	@TempDir
	private Path folder;

	private Path file() {
		return this.folder.resolve("upstreams");
	}

	private CompletableFuture<Long> save(UpstreamStore store, long change, UpstreamRecord record) {
		CompletableFuture<Long> storedChange = new CompletableFuture<>();
		store.save(new UpstreamSnapshot(change, List.of(record)), storedChange::complete);
		return storedChange;
	}

	@Nested
	class Load {

		@Test
		void returnsStoredUpstreams() throws Exception {
			UpstreamStore store = new UpstreamStore(UpstreamStoreTests.this.folder);
			assertThat(save(store, 3, UPSTREAM).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(3);
			assertThat(new UpstreamStore(UpstreamStoreTests.this.folder).load()).containsExactly(UPSTREAM);
		}

		// Guards against an upstream that left and is in use again after a restart.
		@Test
		void returnsUpstreamsThatLeft() throws Exception {
			UpstreamRecord left = UPSTREAM.toBuilder().setState(UpstreamState.LEFT).build();
			UpstreamStore store = new UpstreamStore(UpstreamStoreTests.this.folder);
			save(store, 1, left).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(new UpstreamStore(UpstreamStoreTests.this.folder).load()).containsExactly(left);
		}

		@Test
		void returnsNoUpstreamsIfFileIsMissingOrCorrupt() throws IOException {
			UpstreamStore store = new UpstreamStore(UpstreamStoreTests.this.folder);
			assertThat(store.load()).isEmpty();
			Files.write(file(), new byte[] { 0x7f, 0x01, 0x02 });
			assertThat(store.load()).isEmpty();
		}

	}

	@Nested
	class RefusedWrites {

		// Guards against a confirmed change that a disk refused and that is never stored.
		@Test
		void writeIsRepeatedUntilTheDiskAcceptsIt() throws Exception {
			Path blockedFolder = UpstreamStoreTests.this.folder.resolve("blocked");
			Files.writeString(blockedFolder, "a file in the place of the folder");
			UpstreamStore store = new UpstreamStore(blockedFolder);
			CompletableFuture<Long> storedChange = save(store, 1, UPSTREAM);
			TimeUnit.MILLISECONDS.sleep(150);
			assertThat(storedChange).isNotDone();
			Files.delete(blockedFolder);
			assertThat(storedChange.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(1);
			assertThat(new UpstreamStore(blockedFolder).load()).containsExactly(UPSTREAM);
		}

	}

}
