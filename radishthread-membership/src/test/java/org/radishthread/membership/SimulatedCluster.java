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
 * Runs instances on a simulated network in virtual time.
 */
final class SimulatedCluster {

	static final long TICK_MILLIS = 50;

	static final int LEASE_MILLIS = 3_000;

	final Map<String, Membership> instances = new LinkedHashMap<>();

	private final Map<String, Long> frozenSinceMillis = new HashMap<>();

	private final Set<String> brokenLinks = new HashSet<>();

	private final List<InFlightMessage> inFlightMessages = new ArrayList<>();

	private final Random random;

	private final List<String> seeds = new ArrayList<>();

	private double lossRate;

	long nowMillis = 10_000;

	long sentBytes;

	SimulatedCluster(int instanceCount, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < Math.min(3, instanceCount); i++) {
			this.seeds.add("node-" + i);
		}
		for (int i = 0; i < instanceCount; i++) {
			start("node-" + i);
			confirmRules("node-" + i, 1);
		}
	}

	// Responds as the control group to an instance that requests the rules in force.
	void confirmRules(String name, long revision) {
		this.instances.get(name).confirmRules(rules(revision));
		applyEffects(name);
	}

	void start(String name) {
		InstanceRecord self = InstanceRecord.newBuilder()
			.setName(name)
			.setPeerAddress(name)
			.setGateway(true)
			.setIncarnation(this.nowMillis)
			.build();
		this.instances.put(name, new Membership(self, MembershipSettings.defaults(this.seeds), this::select));
	}

	private List<String> select(List<String> addresses, int maximumCount) {
		List<String> shuffledAddresses = new ArrayList<>(addresses);
		Collections.shuffle(shuffledAddresses, this.random);
		return shuffledAddresses.subList(0, Math.min(maximumCount, shuffledAddresses.size()));
	}

	Membership instance(int index) {
		return this.instances.get("node-" + index);
	}

	void stop(String name) {
		this.instances.remove(name);
	}

	void freeze(String name) {
		this.frozenSinceMillis.put(name, this.nowMillis);
	}

	void resume(String name) {
		this.frozenSinceMillis.remove(name);
	}

	void breakLink(String left, String right) {
		this.brokenLinks.add(left + ">" + right);
		this.brokenLinks.add(right + ">" + left);
	}

	void isolate(String name) {
		this.instances.keySet().forEach((other) -> breakLink(name, other));
	}

	void restoreLinks() {
		this.brokenLinks.clear();
	}

	void setLossRate(double rate) {
		this.lossRate = rate;
	}

	void run(long durationMillis) {
		for (long endMillis = this.nowMillis
				+ durationMillis; this.nowMillis < endMillis; this.nowMillis += TICK_MILLIS) {
			for (Map.Entry<String, Membership> entry : Map.copyOf(this.instances).entrySet()) {
				if (!this.frozenSinceMillis.containsKey(entry.getKey())) {
					entry.getValue().tick(this.nowMillis);
					applyEffects(entry.getKey());
				}
			}
			deliver();
		}
	}

	// To be called after each call to an instance.
	void applyEffects(String name) {
		MembershipEffects effects;
		do {
			effects = this.instances.get(name).drain();
			carryOut(effects, name);
		}
		while (effects.rules() != null);
	}

	private void carryOut(MembershipEffects effects, String name) {
		if (effects.rules() != null) {
			this.instances.get(name).recordRulesApplied(effects.rules().getRevision());
		}
		if (effects.resumedFromFreeze()) {
			this.inFlightMessages.removeIf((message) -> message.to().equals(name));
		}
		for (OutgoingMessage message : effects.messages()) {
			this.sentBytes += message.envelope().getSerializedSize();
			this.inFlightMessages.add(new InFlightMessage(name, message.address(), message.envelope()));
		}
	}

	private void deliver() {
		List<InFlightMessage> batch = new ArrayList<>(this.inFlightMessages);
		this.inFlightMessages.clear();
		for (InFlightMessage message : batch) {
			Membership target = this.instances.get(message.to());
			boolean lost = this.random.nextDouble() < this.lossRate
					|| this.brokenLinks.contains(message.from() + ">" + message.to());
			if (target == null || lost) {
				continue;
			}
			if (this.frozenSinceMillis.containsKey(message.to())) {
				this.inFlightMessages.add(message);
				continue;
			}
			receive(target, message);
			applyEffects(message.to());
		}
	}

	private void receive(Membership target, InFlightMessage message) {
		Envelope envelope = message.envelope();
		if (target.detectFreeze(this.nowMillis)) {
			return;
		}
		switch (envelope.getBodyCase()) {
			case GOSSIP -> target.receive(envelope.getGossip(), this.nowMillis);
			case SYNCHRONIZATION -> target.receive(envelope.getSynchronization(), this.nowMillis);
			case RULE_REQUEST -> target.receive(envelope.getRuleRequest(), message.from());
			case RULE_FILE -> target.receive(envelope.getRuleFile());
			case EVACUATIONS -> target.receive(envelope.getEvacuations(), message.from());
			case LEASE_RENEWAL -> target.receive(envelope.getLeaseRenewal(), this.nowMillis);
			case UPSTREAM_NOTICE -> target.receive(envelope.getUpstreamNotice(), message.from(), this.nowMillis);
			case UPSTREAM_NOTICE_RECEIPT ->
				target.receive(envelope.getUpstreamNoticeReceipt(), message.from(), this.nowMillis);
			default -> throw new IllegalStateException("Message type " + envelope.getBodyCase() + " is not simulated.");
		}
	}

	void offerRules(String name, long revision) {
		this.instances.get(name).offerRules(rules(revision));
		applyEffects(name);
	}

	private static RuleFile rules(long revision) {
		return RuleFile.newBuilder().setRevision(revision).setContent("content of " + revision).build();
	}

	boolean announce(String name, String upstream, long sequence, UpstreamState state) {
		boolean accepted = this.instances.get(name)
			.announce(new Announcement(upstream, "rotaboard", "127.0.0.1:1", "bastrop", 3, 1, sequence, state,
					LEASE_MILLIS), this.nowMillis)
			.accepted();
		applyEffects(name);
		return accepted;
	}

	long readyUpstreamCount(String name) {
		return this.instances.get(name)
			.upstreams()
			.stream()
			.filter((upstream) -> upstream.getState() == UpstreamState.READY)
			.count();
	}

	private record InFlightMessage(String from, String to, Envelope envelope) {
	}

}
