package org.radishthread.membership;

import java.util.Locale;

import org.radishthread.protocol.UpstreamState;

/**
 * Measures what membership costs an instance and how fast a rule revision spreads, by the
 * number of instances and of upstreams, in virtual time with real state machines.
 */
public final class MembershipCostMain {

	private static final int MINUTE = 60_000;

	private MembershipCostMain() {
	}

	public static void main(String[] arguments) {
		for (int instances : new int[] { 3, 8, 16, 32, 64, 100, 150 }) {
			System.out.println(byInstances(instances));
		}
		for (int upstreams : new int[] { 10, 100, 400, 840 }) {
			System.out.println(byUpstreams(16, upstreams));
		}
		System.out.println(byUpstreams(100, 840));
	}

	private static String byInstances(int instances) {
		FakeSystem system = settled(instances);
		long bytes = system.bytes;
		long cpu = System.nanoTime();
		system.run(MINUTE);
		long cpuNanos = System.nanoTime() - cpu;
		long perSecond = (system.bytes - bytes) / 60 / instances;
		long worst = 0;
		for (int revision = 1; revision <= 20; revision++) {
			long started = system.now;
			system.offer("node-" + revision % instances, revision);
			while (!inForceEverywhere(system, revision)) {
				system.run(FakeSystem.TICK_MILLIS);
			}
			worst = Math.max(worst, system.now - started);
			system.run(2_000);
		}
		return String.format(Locale.ROOT,
				"instances=%d upstreams=0 sent-bytes-per-second=%d processor-micros-per-second=%.0f"
						+ " worst-of-20-spreads-millis=%d",
				instances, perSecond, cpuNanos / 1_000.0 / 60 / instances, worst);
	}

	private static boolean inForceEverywhere(FakeSystem system, long revision) {
		return system.instances.values().stream().allMatch((node) -> node.appliedRules().getRevision() >= revision);
	}

	private static FakeSystem settled(int instances) {
		FakeSystem system = new FakeSystem(instances, 1);
		system.run(30_000);
		return system;
	}

	private static String byUpstreams(int instances, int upstreams) {
		FakeSystem system = settled(instances);
		long memory = usedMemory();
		long sequence = 1;
		long joinBytes = system.bytes;
		announceAll(system, instances, upstreams, sequence);
		long started = system.now;
		while (!knownEverywhere(system, upstreams)) {
			system.run(FakeSystem.TICK_MILLIS);
		}
		long joinMillis = system.now - started;
		// All changes have been sent for the last time.
		for (int second = 0; second < 300; second++) {
			sequence++;
			announceAll(system, instances, upstreams, sequence);
			system.run(1_000);
		}
		joinBytes = system.bytes - joinBytes;
		long records = usedMemory() - memory;
		long bytes = system.bytes;
		long cpu = System.nanoTime();
		// Renewals arrive at another instance each time, as behind the platform's
		// balancer.
		for (int second = 0; second < 60; second++) {
			sequence++;
			announceAll(system, instances, upstreams, sequence);
			system.run(1_000);
		}
		long cpuNanos = System.nanoTime() - cpu;
		long ready = system.upstreamsReadyAt("node-1");
		return String.format(Locale.ROOT,
				"instances=%d upstreams=%d ready=%d sent-bytes-per-second=%d processor-micros-per-second=%.0f"
						+ " memory-bytes-per-record=%d known-everywhere-millis=%d join-bytes-per-instance=%d",
				instances, upstreams, ready, (system.bytes - bytes) / 60 / instances,
				cpuNanos / 1_000.0 / 60 / instances, records / Math.max(1, (long) instances * upstreams), joinMillis,
				joinBytes / instances);
	}

	private static boolean knownEverywhere(FakeSystem system, int upstreams) {
		return system.instances.keySet().stream().allMatch((name) -> system.upstreamsReadyAt(name) == upstreams);
	}

	private static void announceAll(FakeSystem system, int instances, int upstreams, long sequence) {
		for (int i = 0; i < upstreams; i++) {
			system.announce("node-" + (i + sequence * 7) % instances, "upstream-" + i, sequence, UpstreamState.READY);
		}
	}

	private static long usedMemory() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
