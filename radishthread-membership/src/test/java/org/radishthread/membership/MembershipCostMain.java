package org.radishthread.membership;

import java.util.Locale;

import org.radishthread.protocol.UpstreamState;

/**
 * Measures the cost of membership for an instance, and the time to propagate a rule
 * revision or new upstreams, for different numbers of instances and upstreams. Runs the
 * production state machines in virtual time.
 */
public final class MembershipCostMain {

	private static final int MINUTE_MILLIS = 60_000;

	private MembershipCostMain() {
	}

	public static void main(String[] arguments) {
		for (int instanceCount : new int[] { 3, 8, 16, 32, 64, 100, 150 }) {
			System.out.println(measureWithoutUpstreams(instanceCount));
		}
		for (int upstreamCount : new int[] { 10, 100, 400, 840 }) {
			System.out.println(measureWithUpstreams(16, upstreamCount));
		}
		System.out.println(measureWithUpstreams(100, 840));
	}

	private static String measureWithoutUpstreams(int instanceCount) {
		SimulatedCluster cluster = startCluster(instanceCount);
		long sentBytesBefore = cluster.sentBytes;
		long startNanos = System.nanoTime();
		cluster.run(MINUTE_MILLIS);
		long processorNanos = System.nanoTime() - startNanos;
		long bytesPerSecond = (cluster.sentBytes - sentBytesBefore) / 60 / instanceCount;
		long maximumPropagationMillis = 0;
		for (int revision = 1; revision <= 20; revision++) {
			long startMillis = cluster.nowMillis;
			cluster.offerRules("node-" + revision % instanceCount, revision);
			while (!isAppliedByAll(cluster, revision)) {
				cluster.run(SimulatedCluster.TICK_MILLIS);
			}
			maximumPropagationMillis = Math.max(maximumPropagationMillis, cluster.nowMillis - startMillis);
			cluster.run(2_000);
		}
		return String.format(Locale.ROOT,
				"instances=%d upstreams=0 sent-bytes-per-second=%d processor-micros-per-second=%.0f"
						+ " worst-of-20-spreads-millis=%d",
				instanceCount, bytesPerSecond, processorNanos / 1_000.0 / 60 / instanceCount, maximumPropagationMillis);
	}

	private static boolean isAppliedByAll(SimulatedCluster cluster, long revision) {
		return cluster.instances.values()
			.stream()
			.allMatch((instance) -> instance.appliedRules().getRevision() >= revision);
	}

	private static SimulatedCluster startCluster(int instanceCount) {
		SimulatedCluster cluster = new SimulatedCluster(instanceCount, 1);
		cluster.run(30_000);
		return cluster;
	}

	private static String measureWithUpstreams(int instanceCount, int upstreamCount) {
		SimulatedCluster cluster = startCluster(instanceCount);
		long usedMemoryBytesBefore = usedMemoryBytes();
		long sequence = 1;
		long joinBytes = cluster.sentBytes;
		announceAll(cluster, instanceCount, upstreamCount, sequence);
		long startMillis = cluster.nowMillis;
		while (!isKnownByAll(cluster, upstreamCount)) {
			cluster.run(SimulatedCluster.TICK_MILLIS);
		}
		long propagationMillis = cluster.nowMillis - startMillis;
		// Lets all changes propagate first, so that only renewals are measured below.
		for (int second = 0; second < 300; second++) {
			sequence++;
			announceAll(cluster, instanceCount, upstreamCount, sequence);
			cluster.run(1_000);
		}
		joinBytes = cluster.sentBytes - joinBytes;
		long recordMemoryBytes = usedMemoryBytes() - usedMemoryBytesBefore;
		long sentBytesBefore = cluster.sentBytes;
		long startNanos = System.nanoTime();
		// Renewals arrive at a different instance each time, as they do behind the load
		// balancer of the platform.
		for (int second = 0; second < 60; second++) {
			sequence++;
			announceAll(cluster, instanceCount, upstreamCount, sequence);
			cluster.run(1_000);
		}
		long processorNanos = System.nanoTime() - startNanos;
		long readyCount = cluster.readyUpstreamCount("node-1");
		return String.format(Locale.ROOT,
				"instances=%d upstreams=%d ready=%d sent-bytes-per-second=%d processor-micros-per-second=%.0f"
						+ " memory-bytes-per-record=%d known-everywhere-millis=%d join-bytes-per-instance=%d",
				instanceCount, upstreamCount, readyCount, (cluster.sentBytes - sentBytesBefore) / 60 / instanceCount,
				processorNanos / 1_000.0 / 60 / instanceCount,
				recordMemoryBytes / Math.max(1, (long) instanceCount * upstreamCount), propagationMillis,
				joinBytes / instanceCount);
	}

	private static boolean isKnownByAll(SimulatedCluster cluster, int upstreamCount) {
		return cluster.instances.keySet()
			.stream()
			.allMatch((name) -> cluster.readyUpstreamCount(name) == upstreamCount);
	}

	private static void announceAll(SimulatedCluster cluster, int instanceCount, int upstreamCount, long sequence) {
		for (int i = 0; i < upstreamCount; i++) {
			cluster.announce("node-" + (i + sequence * 7) % instanceCount, "upstream-" + i, sequence,
					UpstreamState.READY);
		}
	}

	private static long usedMemoryBytes() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
