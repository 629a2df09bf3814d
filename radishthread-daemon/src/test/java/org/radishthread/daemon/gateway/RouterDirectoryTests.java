package org.radishthread.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Queue;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.UpstreamPool;
import org.radishthread.rules.RuleParser;
import org.radishthread.rules.RuleSet;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RouterDirectory}.
 */
class RouterDirectoryTests {

	private static final String SERVICE = "tiles";

	private static final UpstreamPool POOL = new UpstreamPool(SERVICE, 1, 2);

	// Run while the next router is created.
	private final Queue<Runnable> duringCreation = new ArrayDeque<>();

	private final RouterDirectory<Router> directory = new RouterDirectory<>(this::create,
			(router, rule) -> router.rule = rule, (pool, router) -> router.initializedPool = pool);

	private Router create(UpstreamPool pool, ServiceRule rule) {
		Router router = new Router();
		router.rule = rule;
		Runnable action = this.duringCreation.poll();
		if (action != null) {
			action.run();
		}
		return router;
	}

	private static RuleSet rules(int revision) {
		return RuleParser.parse("rules", "revision %d # asked by anna\nservice %s queue=%d # asked by anna"
			.formatted(revision, SERVICE, revision));
	}

	private void assertRouterHasRuleOf(int revision) {
		assertThat(this.directory.router(POOL).rule.queueLimit()).isEqualTo(revision);
	}

	@Nested
	class ChangedRules {

		@Test
		void reachRoutersThatExist() {
			RouterDirectoryTests.this.directory.router(POOL);
			RouterDirectoryTests.this.directory.applyRules(rules(1));
			assertRouterHasRuleOf(1);
		}

		// Guards against a router that kept the rule of a former revision, or the
		// defaults, because it was created on another thread while the rules changed.
		@Test
		void reachRouterThatIsBeingCreated() {
			RouterDirectoryTests.this.directory.applyRules(rules(1));
			RouterDirectoryTests.this.duringCreation
				.add(() -> RouterDirectoryTests.this.directory.applyRules(rules(2)));
			RouterDirectoryTests.this.directory.router(POOL);
			assertRouterHasRuleOf(2);
		}

		@Test
		void reachRouterThatIsCreatedForTheFirstRules() {
			RouterDirectoryTests.this.duringCreation
				.add(() -> RouterDirectoryTests.this.directory.applyRules(rules(1)));
			RouterDirectoryTests.this.directory.router(POOL);
			assertRouterHasRuleOf(1);
		}

	}

	@Nested
	class NewRouters {

		// Guards against a router without the upstreams that were announced before it was
		// created.
		@Test
		void areInitialized() {
			assertThat(RouterDirectoryTests.this.directory.router(POOL).initializedPool).isEqualTo(POOL);
		}

	}

	private static final class Router {

		private ServiceRule rule = ServiceRule.defaults(SERVICE);

		private @Nullable UpstreamPool initializedPool;

	}

}
