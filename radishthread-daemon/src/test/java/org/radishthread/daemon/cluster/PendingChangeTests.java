package org.radishthread.daemon.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PendingChange}.
 */
class PendingChangeTests {

	private static final long NOW_MILLIS = 1_000;

	private static final long LATER_MILLIS = NOW_MILLIS + 2_000;

	private final List<String> accepted = new ArrayList<>();

	private final Set<String> failing = new HashSet<>();

	private final ClusterListener first = new RecordingListener("first");

	private final ClusterListener second = new RecordingListener("second");

	private final PendingChange<RuleFile> change = new PendingChange<>("rules", ClusterListener::rulesChanged);

	private void offer(long revision) {
		this.change.offer(RuleFile.newBuilder().setRevision(revision).build(), List.of(this.first, this.second));
	}

	@Test
	void valueIsReturnedOnceAllListenersHaveAcceptedIt() {
		offer(6);
		RuleFile rules = this.change.deliver(NOW_MILLIS);
		assertThat(rules).isNotNull().extracting(RuleFile::getRevision).isEqualTo(6L);
		assertThat(this.change.deliver(LATER_MILLIS)).isNull();
		assertThat(this.accepted).containsExactly("first 6", "second 6");
	}

	// Guards against a change that a listener misses because another one failed.
	@Test
	void listenersAfterOneThatFailsAreNotified() {
		this.failing.add("first");
		offer(6);
		assertThat(this.change.deliver(NOW_MILLIS)).isNull();
		assertThat(this.accepted).containsExactly("second 6");
	}

	@Test
	void onlyListenersThatFailedAreNotifiedAgainAfterAPause() {
		this.failing.add("first");
		offer(6);
		this.change.deliver(NOW_MILLIS);
		this.failing.clear();
		assertThat(this.change.deliver(NOW_MILLIS)).isNull();
		assertThat(this.change.deliver(LATER_MILLIS)).isNotNull();
		assertThat(this.accepted).containsExactly("second 6", "first 6");
	}

	@Test
	void laterChangeIsPassedOnToAllListenersAtOnce() {
		this.failing.add("first");
		offer(6);
		this.change.deliver(NOW_MILLIS);
		this.failing.clear();
		offer(7);
		assertThat(this.change.deliver(NOW_MILLIS)).isNotNull();
		assertThat(this.accepted).containsExactly("second 6", "first 7", "second 7");
	}

	/**
	 * Listener that fails as long as its name is in a set.
	 */
	private final class RecordingListener implements ClusterListener {

		private final String name;

		private RecordingListener(String name) {
			this.name = name;
		}

		@Override
		public void upstreamsChanged(List<UpstreamRecord> upstreams) {
			// Not part of these tests.
		}

		@Override
		public void rulesChanged(RuleFile rules) {
			if (PendingChangeTests.this.failing.contains(this.name)) {
				throw new IllegalStateException(this.name);
			}
			PendingChangeTests.this.accepted.add(this.name + " " + rules.getRevision());
		}

	}

}
