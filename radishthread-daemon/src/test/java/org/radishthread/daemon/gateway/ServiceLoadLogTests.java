package org.radishthread.daemon.gateway;

import org.junit.jupiter.api.Test;

import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.ServiceLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceLoadLog}.
 */
class ServiceLoadLogTests {

	private final ServiceLoadLog log = new ServiceLoadLog("service");

	private boolean write(boolean queued, long nowNanos) {
		boolean due = this.log.tryAcquireLine(queued, nowNanos);
		if (due) {
			this.log.write(new ServiceLoad(12, 72, 4, 9, 300, 10));
		}
		return due;
	}

	@Test
	void nothingIsWrittenWhileRequestsAreServedAtOnce() {
		this.log.recordDispatch();
		this.log.recordUnreportedAttempt();
		assertThat(write(false, ServiceLoadLog.INTERVAL_NANOS)).isFalse();
	}

	@Test
	void lineIsWrittenAtMostOnceInAnIntervalWhileRequestsWait() {
		int lines = 0;
		for (int i = 0; i < 100; i++) {
			lines += write(true, i * ServiceLoadLog.INTERVAL_NANOS / 10) ? 1 : 0;
		}
		assertThat(lines).isEqualTo(10);
	}

	@Test
	void refusalWithoutAQueueIsWritten() {
		this.log.recordRefusal(RefusalReason.OVERLOAD);
		assertThat(write(false, 0)).isTrue();
		assertThat(write(false, ServiceLoadLog.INTERVAL_NANOS)).isFalse();
	}

}
