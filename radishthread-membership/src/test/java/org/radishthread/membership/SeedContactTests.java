package org.radishthread.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the contact with seeds of which an instance has no record.
 */
class SeedContactTests {

	private static final long START_MILLIS = 10_000;

	private static final long DURATION_MILLIS = 4_000;

	private static final List<String> SEEDS = List.of("control-0", "control-1", "control-2");

	private final Membership control = new Membership(instance("control-0", true), MembershipSettings.defaults(SEEDS),
			(addresses, count) -> addresses.subList(0, Math.min(count, addresses.size())));

	private static InstanceRecord instance(String name, boolean control) {
		return InstanceRecord.newBuilder()
			.setName(name)
			.setPeerAddress(name)
			.setControl(control)
			.setGateway(!control)
			.setIncarnation(1_700_000_000_000L)
			.build();
	}

	private void receiveReport(String gateway, long heartbeat, long nowMillis) {
		this.control.receive(Gossip.newBuilder()
			.setSender(gateway)
			.setSenderAddress(gateway)
			.addInstances(NameHash.of(gateway))
			.addHeartbeats(1_700_000_000_000L + heartbeat)
			.addRevisions(0)
			.addRecords(instance(gateway, false))
			.setLiveDigest(1)
			.build(), nowMillis);
	}

	// Guards against a control instance that takes itself and the gateways that report to
	// it for the whole cluster: rules and upstreams that others accept reach them late.
	@Test
	void controlInstanceThatKnowsOnlyGatewaysContactsTheSeeds() {
		Set<String> recipients = new HashSet<>();
		for (long nowMillis = START_MILLIS; nowMillis < START_MILLIS + DURATION_MILLIS; nowMillis += 50) {
			for (int i = 0; i < 4; i++) {
				receiveReport("gateway-" + i, nowMillis, nowMillis);
			}
			this.control.tick(nowMillis);
			boolean settled = nowMillis > START_MILLIS + 1_000;
			this.control.drain()
				.messages()
				.stream()
				.filter((message) -> settled && message.envelope().hasGossip())
				.forEach((message) -> recipients.add(message.address()));
		}
		assertThat(recipients).contains("control-1", "control-2");
	}

}
