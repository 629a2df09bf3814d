package org.radishthread.daemon.gateway;

import java.nio.file.Path;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for slots of an upstream that were granted by a home which knows another
 * announcement of it than this gateway.
 */
class DepartedUpstreamTests {

	private static final String UPSTREAM = "upstream-1";

	private static final String ADDRESS = "127.0.0.1:1";

	private static final long INCARNATION = 3;

	private static final long READY_SEQUENCE = 10;

	// A withdrawal counts more than the announcements that can still arrive.
	private static final long WITHDRAWAL_SEQUENCE = 1_000_010;

	@TempDir
	private Path directory;

	private GatewayServices services;

	@BeforeEach
	void start() throws Exception {
		this.services = new GatewayServices(this.directory);
		learn(INCARNATION, READY_SEQUENCE, UpstreamState.READY);
	}

	@AfterEach
	void stop() {
		this.services.close();
	}

	private void learn(long incarnation, long sequence, UpstreamState state) {
		UpstreamRecord record = UpstreamRecord.newBuilder()
			.setName(UPSTREAM)
			.setService(GatewayServices.SERVICE)
			.setAddress(ADDRESS)
			.setIncarnation(incarnation)
			.setSequence(sequence)
			.setSlots(1)
			.setState(state)
			.build();
		this.services.routing().upstreamsChanged(List.of(record));
	}

	private @Nullable LoadReport findConstraint(long incarnation, long sequence) {
		Upstream upstream = new Upstream(UPSTREAM, ADDRESS, "", 1, incarnation, true, sequence, 0);
		RoutingEffect.Dispatch dispatch = new RoutingEffect.Dispatch(1, upstream, AttemptKind.FIRST, 1, 0, 0, 0, false,
				null);
		return this.services.routing().findConstraint(GatewayServices.SERVICE, dispatch);
	}

	@Nested
	class GrantedByAnOlderAnnouncement {

		// Guards against a request that is sent to an upstream after its withdrawal was
		// acknowledged, because the home that granted the slot does not know of it yet.
		@Test
		void upstreamThatLeftIsSentNothing() {
			learn(INCARNATION, WITHDRAWAL_SEQUENCE, UpstreamState.LEFT);
			assertThat(findConstraint(INCARNATION, READY_SEQUENCE)).isNotNull()
				.extracting(LoadReport::leaving)
				.isEqualTo(true);
		}

		// Guards against the same for an upstream that drains.
		@Test
		void drainingUpstreamIsSentNothing() {
			learn(INCARNATION, READY_SEQUENCE + 1, UpstreamState.DRAINING);
			assertThat(findConstraint(INCARNATION, READY_SEQUENCE)).isNotNull()
				.extracting(LoadReport::leaving)
				.isEqualTo(true);
		}

	}

	@Nested
	class GrantedByTheSameOrANewerAnnouncement {

		// Guards against an upstream without requests, because it left in an earlier
		// incarnation.
		@Test
		void laterIncarnationOfAnUpstreamThatLeftIsSentRequests() {
			learn(INCARNATION, WITHDRAWAL_SEQUENCE, UpstreamState.LEFT);
			assertThat(findConstraint(INCARNATION + 1, 1)).isNull();
		}

		// Guards against a ready upstream that is taken for one that leaves.
		@Test
		void readyUpstreamIsSentRequests() {
			assertThat(findConstraint(INCARNATION, READY_SEQUENCE)).isNull();
		}

	}

}
