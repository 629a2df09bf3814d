package org.radishthread.membership;

/**
 * The interval between two rounds of gossip and the timeouts that follow from it. With
 * many instances the interval grows to limit the byte rate, and the timeouts grow with
 * it, so that they always span the same number of heartbeats. Times are in milliseconds.
 */
final class RoundTiming {

	// Five heartbeats, made in time and relayed within some rounds of gossip. An
	// acknowledgement does not wait for instances that are silent for longer, because it
	// must not come late.
	private static final long RESPONSIVE_PERIOD_MILLIS = 3_000;

	private static final int HEARTBEAT_BYTES_PER_INSTANCE = 13;

	private static final int GOSSIP_MESSAGE_BASE_BYTES = 60;

	private final MembershipSettings settings;

	private final InstanceTable instances;

	RoundTiming(MembershipSettings settings, InstanceTable instances) {
		this.settings = settings;
		this.instances = instances;
	}

	// Only heartbeats count towards the rate: if a burst of changes delayed heartbeats,
	// live instances would seem lost, which would cause further changes.
	long roundIntervalMillis() {
		long heartbeatBytes = GOSSIP_MESSAGE_BASE_BYTES
				+ (long) HEARTBEAT_BYTES_PER_INSTANCE * this.instances.entries().size();
		long bytesPerSecond = this.instances.hasControlInstance() ? this.settings.controlHeartbeatBytesPerSecond()
				: this.settings.heartbeatBytesPerSecond();
		long spacingMillis = this.settings.fanout() * heartbeatBytes * 1_000 / bytesPerSecond;
		return Math.max(this.settings.gossipIntervalMillis(), spacingMillis);
	}

	private long scaleToRoundInterval(long durationMillis) {
		return durationMillis * roundIntervalMillis() / this.settings.gossipIntervalMillis();
	}

	// The time without a heartbeat after which an instance counts as lost.
	long failureTimeoutMillis() {
		return scaleToRoundInterval(this.settings.failureTimeoutMillis());
	}

	// The time without heartbeats of a majority after which this instance is isolated.
	long isolationTimeoutMillis() {
		return scaleToRoundInterval(this.settings.isolationTimeoutMillis());
	}

	// The time within which an instance that responds has made a heartbeat that has
	// arrived.
	long responsivePeriodMillis() {
		return scaleToRoundInterval(RESPONSIVE_PERIOD_MILLIS);
	}

}
