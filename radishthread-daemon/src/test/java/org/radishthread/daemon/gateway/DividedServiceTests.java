package org.radishthread.daemon.gateway;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.UpstreamPool;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the routers of a service that is divided into pools.
 */
class DividedServiceTests {

	private static final int UPSTREAM_COUNT = 100;

	private static final int REQUEST_COUNT = 40;

	@TempDir
	private Path directory;

	private GatewayServices services;

	private final BlockingQueue<String> grantedUpstreams = new LinkedBlockingQueue<>();

	@BeforeEach
	void start() throws Exception {
		this.services = new GatewayServices(this.directory);
	}

	@AfterEach
	void stop() {
		this.services.close();
	}

	private RoutingCallback recording() {
		return new RoutingCallback() {

			@Override
			public void onDispatch(RoutingEffect.Dispatch dispatch) {
				DividedServiceTests.this.grantedUpstreams.add(dispatch.upstream().name());
			}

			@Override
			public void onRefusal(RoutingEffect.Refusal refusal) {
				DividedServiceTests.this.grantedUpstreams.add(refusal.reason().wireName());
			}

		};
	}

	private Set<String> admitRequests(UpstreamPool pool) throws InterruptedException {
		LocalRequestRouter router = this.services.routing().router(pool);
		Set<String> upstreams = new HashSet<>();
		for (long number = 1; number <= REQUEST_COUNT; number++) {
			router.admit(this.services.newRequest(number, true), recording());
			upstreams.add(this.grantedUpstreams.poll(5, TimeUnit.SECONDS));
		}
		return upstreams;
	}

	// Guards against two homes that grant the slots of the same upstream.
	@Test
	void homeOfAPoolGrantsSlotsOfItsUpstreamsOnly() throws Exception {
		this.services.announceUpstreams(UPSTREAM_COUNT, 6);
		List<UpstreamPool> pools = this.services.routing().pools(GatewayServices.SERVICE).pools();
		assertThat(pools).hasSizeGreaterThan(1);
		for (UpstreamPool pool : pools) {
			assertThat(admitRequests(pool)).isNotEmpty().allMatch(pool::contains);
		}
	}

	// Guards against a router without upstreams: it was created for a message of an
	// instance that divides the service in another way.
	@Test
	void routerOfAnotherDivisionHasItsUpstreams() throws Exception {
		this.services.announceUpstreams(UPSTREAM_COUNT, 6);
		UpstreamPool pool = new UpstreamPool(GatewayServices.SERVICE, 1, 2);
		assertThat(admitRequests(pool)).isNotEmpty().allMatch((upstream) -> upstream.startsWith("upstream-"));
	}

	// Guards against upstreams that a router misses because they are announced after it
	// was created.
	@Test
	void laterUpstreamsReachRoutersThatExist() throws Exception {
		UpstreamPool pool = new UpstreamPool(GatewayServices.SERVICE, 1, 2);
		this.services.routing().router(pool);
		this.services.announceUpstreams(UPSTREAM_COUNT, 6);
		assertThat(admitRequests(pool)).isNotEmpty().allMatch(pool::contains);
	}

}
