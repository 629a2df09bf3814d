package org.radishthread.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamReachability}.
 */
class UpstreamReachabilityTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final List<String> SERVICES = List.of("rotaboard", "swapdesk", "tallybin", "roomwatch");

	private static final int UPSTREAMS_PER_SERVICE = 5;

	private final UpstreamReachability reachability = new UpstreamReachability(7);

	private final Map<String, String> serviceByAddress = new LinkedHashMap<>();

	UpstreamReachabilityTests() {
		for (String service : SERVICES) {
			for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
				this.serviceByAddress.put(address(service, i), service);
			}
		}
		this.reachability.updateUpstreams(this.serviceByAddress);
	}

	private static String address(String service, int number) {
		return "127.0." + SERVICES.indexOf(service) + "." + (1 + number) + ":8080";
	}

	// Answers the probes that are due in each half second, until the end.
	private void answerProbes(List<String> reachableServices, double endSeconds) {
		for (double seconds = 0; seconds < endSeconds; seconds += 0.5) {
			for (String address : this.reachability.dueProbes((long) (seconds * NANOS_PER_SECOND))) {
				this.reachability.recordConnection(address,
						reachableServices.contains(this.serviceByAddress.get(address)));
			}
		}
	}

	@Nested
	class Beginning {

		// Incident 1 of brazos-rota-grown: a gateway that sends few requests of a service
		// took seconds to be known as partitioned.
		@Test
		void oneFailureAndProbesShowThatNoServiceIsReached() {
			UpstreamReachabilityTests.this.reachability.recordConnection(address("tallybin", 0), false);
			answerProbes(List.of(), 1);
			assertThat(UpstreamReachabilityTests.this.reachability.partitionedServices())
				.containsExactlyInAnyOrderElementsOf(SERVICES);
		}

		@Test
		void oneServiceMayBeOutOfReach() {
			UpstreamReachabilityTests.this.reachability.recordConnection(address("tallybin", 0), false);
			answerProbes(List.of("rotaboard", "swapdesk", "roomwatch"), 1);
			assertThat(UpstreamReachabilityTests.this.reachability.partitionedServices()).containsExactly("tallybin");
		}

		@Test
		void lostUpstreamIsNoPartition() {
			UpstreamReachabilityTests.this.reachability.recordConnection(address("tallybin", 0), false);
			answerProbes(SERVICES, 1);
			assertThat(UpstreamReachabilityTests.this.reachability.partitionedServices()).isEmpty();
			assertThat(UpstreamReachabilityTests.this.reachability.needsProbes()).isFalse();
		}

		@Test
		void otherAddressesAreIgnored() {
			UpstreamReachabilityTests.this.reachability.recordConnection("127.0.0.9:7160", false);
			assertThat(UpstreamReachabilityTests.this.reachability.needsProbes()).isFalse();
		}

	}

	@Nested
	class End {

		@Test
		void probeThatConnectsEndsThePartition() {
			UpstreamReachabilityTests.this.reachability.recordConnection(address("tallybin", 0), false);
			answerProbes(List.of(), 5);
			UpstreamReachabilityTests.this.reachability.recordConnection(address("swapdesk", 1), true);
			assertThat(UpstreamReachabilityTests.this.reachability.isPartitioned("swapdesk")).isFalse();
			assertThat(UpstreamReachabilityTests.this.reachability.isPartitioned("tallybin")).isTrue();
			assertThat(UpstreamReachabilityTests.this.reachability.isPartitionedFrom(address("tallybin", 2))).isTrue();
		}

		@Test
		void fewProbesAreSentDuringAPartition() {
			UpstreamReachabilityTests.this.reachability.recordConnection(address("tallybin", 0), false);
			answerProbes(List.of(), 5);
			int probes = 0;
			for (int i = 0; i < 100; i++) {
				probes += UpstreamReachabilityTests.this.reachability
					.dueProbes((long) ((10 + i / 10.0) * NANOS_PER_SECOND))
					.size();
			}
			// One a second for each service, and one for all of them.
			assertThat(probes).isPositive().isLessThanOrEqualTo(10 * (SERVICES.size() + 1));
		}

	}

}
