package org.radishthread.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Queue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.rules.RuleParser;
import org.radishthread.rules.RuleSet;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RouterDirectory}.
 */
class RouterDirectoryTests {

	private static final String SERVICE = "tiles";

	// Run while the next router is created.
	private final Queue<Runnable> duringCreation = new ArrayDeque<>();

	private final RouterDirectory<Router> directory = new RouterDirectory<>(this::create,
			(router, rule) -> router.rule = rule);

	private Router create(ServiceRule rule) {
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
		assertThat(this.directory.router(SERVICE).rule.queueLimit()).isEqualTo(revision);
	}

	@Nested
	class ChangedRules {

		@Test
		void reachRoutersThatExist() {
			RouterDirectoryTests.this.directory.router(SERVICE);
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
			RouterDirectoryTests.this.directory.router(SERVICE);
			assertRouterHasRuleOf(2);
		}

		@Test
		void reachRouterThatIsCreatedForTheFirstRules() {
			RouterDirectoryTests.this.duringCreation
				.add(() -> RouterDirectoryTests.this.directory.applyRules(rules(1)));
			RouterDirectoryTests.this.directory.router(SERVICE);
			assertRouterHasRuleOf(1);
		}

	}

	private static final class Router {

		private ServiceRule rule = ServiceRule.defaults(SERVICE);

	}

}
