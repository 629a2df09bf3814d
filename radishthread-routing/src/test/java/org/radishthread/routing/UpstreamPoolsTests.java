package org.radishthread.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link UpstreamPools} and {@link UpstreamPool}.
 */
class UpstreamPoolsTests {

	private static final String SERVICE = "rotaboard";

	private static final int REQUEST_COUNT = 10_000;

	private static List<Upstream> upstreams(int count) {
		return IntStream.range(0, count).mapToObj((number) -> upstream("upstream-" + number, true)).toList();
	}

	private static Upstream upstream(String name, boolean acceptsRequests) {
		return new Upstream(name, "10.0.0.1:80", "zone-1", 3, 1, acceptsRequests);
	}

	private static Map<UpstreamPool, Integer> countRequests(UpstreamPools pools) {
		Map<UpstreamPool, Integer> requests = new HashMap<>();
		for (int request = 0; request < REQUEST_COUNT; request++) {
			requests.merge(pools.select((double) request / REQUEST_COUNT), 1, Integer::sum);
		}
		return requests;
	}

	private static Map<String, Integer> countRequestsByHome(int upstreamCount, int gatewayCount) {
		Map<String, Integer> requestsByHome = new HashMap<>();
		List<String> gateways = IntStream.range(0, gatewayCount).mapToObj((number) -> "gateway-" + number).toList();
		countRequests(UpstreamPools.of(SERVICE, upstreams(upstreamCount))).forEach((pool, count) -> requestsByHome
			.merge(HomeAssignment.findHome(pool.key(), gateways), count, Integer::sum));
		return requestsByHome;
	}

	@Nested
	class LargeService {

		// Guards against a home that grants the slots of all requests of a busy service
		// and is short of processor time before its upstreams are.
		@ParameterizedTest
		@CsvSource({ "58, 0.6", "91, 0.4", "102, 0.4", "146, 0.25" })
		void noHomeGrantsTheSlotsOfMostRequests(int upstreamCount, double maximumShare) {
			Map<String, Integer> requestsByHome = countRequestsByHome(upstreamCount, 104);
			assertThat(requestsByHome.values())
				.allSatisfy((count) -> assertThat(count).isLessThanOrEqualTo((int) (maximumShare * REQUEST_COUNT)));
		}

		// Guards against a home that has just started and whose share of the requests of
		// a busy service is more than it can grant in time.
		@Test
		void noHomeOfALargeServiceGrantsTheSlotsOfMoreThanAQuarterOfTheRequests() {
			assertThat(countRequestsByHome(91, 104).values())
				.allSatisfy((count) -> assertThat(count).isLessThanOrEqualTo(REQUEST_COUNT / 4));
		}

		@Test
		void eachUpstreamBelongsToOnePool() {
			List<UpstreamPool> pools = UpstreamPools.of(SERVICE, upstreams(100)).pools();
			assertThat(upstreams(100))
				.allSatisfy((upstream) -> assertThat(pools.stream().filter((pool) -> pool.contains(upstream.name())))
					.hasSize(1));
		}

		@Test
		void sharesOfThePoolsAreThoseOfTheirUsableUpstreams() {
			UpstreamPool emptyPool = UpstreamPools.of(SERVICE, upstreams(100)).pools().get(1);
			List<Upstream> upstreams = upstreams(100).stream()
				.map((upstream) -> upstream(upstream.name(), !emptyPool.contains(upstream.name())))
				.toList();
			UpstreamPools pools = UpstreamPools.of(SERVICE, upstreams);
			Map<UpstreamPool, Integer> requests = countRequests(pools);
			long usable = upstreams.stream().filter(Upstream::acceptsRequests).count();
			assertThat(requests).doesNotContainKey(emptyPool).hasSize(pools.pools().size() - 1);
			requests.forEach((pool, count) -> {
				long usableInPool = upstreams.stream()
					.filter((upstream) -> upstream.acceptsRequests() && pool.contains(upstream.name()))
					.count();
				assertThat((double) count / REQUEST_COUNT).isCloseTo((double) usableInPool / usable, within(0.01));
			});
		}

		// Guards against equal requests that run at the same time although upstreams
		// crash under them.
		@Test
		void requestsWithOneDigestHaveOnePool() {
			UpstreamPools pools = UpstreamPools.of(SERVICE, upstreams(100));
			assertThat(pools.selectByDigest("6ae8ad61ac5f71ac")).isEqualTo(pools.selectByDigest("6ae8ad61ac5f71ac"));
		}

	}

	@Nested
	class SmallService {

		@ParameterizedTest
		@ValueSource(ints = { 0, 1, 10, 15 })
		void hasOnePoolWithTheNameOfTheService(int upstreamCount) {
			UpstreamPools pools = UpstreamPools.of(SERVICE, upstreams(upstreamCount));
			assertThat(pools.pools()).containsExactly(UpstreamPool.whole(SERVICE));
			assertThat(pools.select(0.99).key()).isEqualTo(SERVICE);
		}

	}

	@Nested
	class Keys {

		@Test
		void poolIsReadFromItsKey() {
			UpstreamPool pool = new UpstreamPool(SERVICE, 1, 4);
			assertThat(pool.key()).isEqualTo("rotaboard#1/4");
			assertThat(UpstreamPool.of(pool.key())).isEqualTo(pool);
			assertThat(UpstreamPool.of(SERVICE)).isEqualTo(UpstreamPool.whole(SERVICE));
		}

		@ParameterizedTest
		@ValueSource(strings = { "a#", "a#1", "a#4/4", "a#-1/4", "a#1/3", "a#0/128", "#0/2", "a#x/2", "" })
		void invalidKeyIsRejected(String key) {
			assertThatThrownBy(() -> UpstreamPool.of(key)).isInstanceOf(IllegalArgumentException.class);
		}

	}

}
