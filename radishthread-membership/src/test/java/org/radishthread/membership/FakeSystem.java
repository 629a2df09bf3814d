package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamState;

/**
 * Instances on a fake network in virtual time.
 */
final class FakeSystem {

	static final long TICK_MILLIS = 50;

	static final int LEASE_MILLIS = 3_000;

	final Map<String, Membership> instances = new LinkedHashMap<>();

	private final Map<String, Long> frozenSince = new HashMap<>();

	private final Set<String> cuts = new HashSet<>();

	private final List<Travelling> network = new ArrayList<>();

	private final Random random;

	private final List<String> seeds = new ArrayList<>();

	private double loss;

	long now = 10_000;

	long bytes;

	FakeSystem(int size, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < Math.min(3, size); i++) {
			this.seeds.add("node-" + i);
		}
		for (int i = 0; i < size; i++) {
			start("node-" + i);
			confirm("node-" + i, 1);
		}
	}

	// What the control group answers an instance that asks for the rules in force.
	void confirm(String name, long revision) {
		this.instances.get(name).confirmRules(rules(revision));
		collect(name);
	}

	void start(String name) {
		InstanceRecord self = InstanceRecord.newBuilder()
			.setName(name)
			.setPeerAddress(name)
			.setGateway(true)
			.setIncarnation(this.now)
			.build();
		this.instances.put(name, new Membership(self, MembershipSettings.defaults(this.seeds), this::choose));
	}

	private List<String> choose(List<String> addresses, int count) {
		List<String> shuffled = new ArrayList<>(addresses);
		Collections.shuffle(shuffled, this.random);
		return shuffled.subList(0, Math.min(count, shuffled.size()));
	}

	Membership node(int index) {
		return this.instances.get("node-" + index);
	}

	void stop(String name) {
		this.instances.remove(name);
	}

	void freeze(String name) {
		this.frozenSince.put(name, this.now);
	}

	void wake(String name) {
		this.frozenSince.remove(name);
	}

	void cut(String left, String right) {
		this.cuts.add(left + ">" + right);
		this.cuts.add(right + ">" + left);
	}

	void isolate(String name) {
		this.instances.keySet().forEach((other) -> cut(name, other));
	}

	void heal() {
		this.cuts.clear();
	}

	void setLoss(double share) {
		this.loss = share;
	}

	void run(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += TICK_MILLIS) {
			for (Map.Entry<String, Membership> entry : Map.copyOf(this.instances).entrySet()) {
				if (!this.frozenSince.containsKey(entry.getKey())) {
					entry.getValue().tick(this.now);
					collect(entry.getKey());
				}
			}
			deliver();
		}
	}

	// Takes the effects of an instance after a call to it.
	void collect(String name) {
		MembershipEffects effects = this.instances.get(name).drain();
		if (effects.woke()) {
			this.network.removeIf((travelling) -> travelling.to().equals(name));
		}
		for (Outgoing outgoing : effects.outgoing()) {
			this.bytes += outgoing.envelope().getSerializedSize();
			this.network.add(new Travelling(name, outgoing.address(), outgoing.envelope()));
		}
	}

	private void deliver() {
		List<Travelling> batch = new ArrayList<>(this.network);
		this.network.clear();
		for (Travelling travelling : batch) {
			Membership target = this.instances.get(travelling.to());
			boolean lost = this.random.nextDouble() < this.loss
					|| this.cuts.contains(travelling.from() + ">" + travelling.to());
			if (target == null || lost) {
				continue;
			}
			if (this.frozenSince.containsKey(travelling.to())) {
				this.network.add(travelling);
				continue;
			}
			receive(target, travelling);
			collect(travelling.to());
		}
	}

	private void receive(Membership target, Travelling travelling) {
		Envelope envelope = travelling.envelope();
		if (target.observe(this.now)) {
			return;
		}
		switch (envelope.getBodyCase()) {
			case GOSSIP -> target.receive(envelope.getGossip(), this.now);
			case SYNCHRONIZATION -> target.receive(envelope.getSynchronization(), this.now);
			case RULE_REQUEST -> target.receive(envelope.getRuleRequest(), travelling.from());
			case RULE_FILE -> target.offerRules(envelope.getRuleFile());
			case LEASE_RENEWAL -> target.receive(envelope.getLeaseRenewal(), this.now);
			case UPSTREAM_NOTICE -> target.receive(envelope.getUpstreamNotice(), travelling.from(), this.now);
			case UPSTREAM_NOTICE_RECEIPT ->
				target.receive(envelope.getUpstreamNoticeReceipt(), travelling.from(), this.now);
			default -> throw new IllegalStateException("Message " + envelope.getBodyCase() + " must be handled.");
		}
	}

	void offer(String name, long revision) {
		this.instances.get(name).offerRules(rules(revision));
		collect(name);
	}

	private static RuleFile rules(long revision) {
		return RuleFile.newBuilder().setRevision(revision).setContent("content of " + revision).build();
	}

	boolean announce(String name, String upstream, long sequence, UpstreamState state) {
		boolean current = this.instances.get(name)
			.announce(new Announcement(upstream, "rotaboard", "127.0.0.1:1", "bastrop", 3, 1, sequence, state,
					LEASE_MILLIS), this.now)
			.current();
		collect(name);
		return current;
	}

	long upstreamsReadyAt(String name) {
		return this.instances.get(name)
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.getState() == UpstreamState.READY)
			.count();
	}

	private record Travelling(String from, String to, Envelope envelope) {
	}

}
