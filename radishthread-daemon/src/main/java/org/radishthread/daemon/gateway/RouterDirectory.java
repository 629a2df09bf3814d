package org.radishthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

import org.radishthread.routing.UpstreamPool;
import org.radishthread.rules.RuleSet;
import org.radishthread.rules.ServiceRule;

/**
 * Holds the rules in force and the router of each pool of upstreams. A router is created
 * when it is first needed, and is told each rule of its service that comes into force,
 * however that coincides with its creation. Safe for use by several threads.
 *
 * @param <R> the type of the routers
 */
final class RouterDirectory<R> {

	private final BiFunction<UpstreamPool, ServiceRule, R> factory;

	private final BiConsumer<R, ServiceRule> ruleUpdate;

	private final BiConsumer<UpstreamPool, R> initialization;

	private final Map<UpstreamPool, R> routers = new ConcurrentHashMap<>();

	private volatile RuleSet rules = RuleSet.EMPTY;

	/**
	 * Creates a directory without rules and routers.
	 * @param factory the function that creates the router of a pool from the rule of its
	 * service
	 * @param ruleUpdate the function that tells a router a changed rule
	 * @param initialization the function that tells a router what else its pool has,
	 * called once the router can be found
	 */
	RouterDirectory(BiFunction<UpstreamPool, ServiceRule, R> factory, BiConsumer<R, ServiceRule> ruleUpdate,
			BiConsumer<UpstreamPool, R> initialization) {
		this.factory = factory;
		this.ruleUpdate = ruleUpdate;
		this.initialization = initialization;
	}

	RuleSet rules() {
		return this.rules;
	}

	R router(UpstreamPool pool) {
		R existing = this.routers.get(pool);
		if (existing != null) {
			return existing;
		}
		R router = this.routers.computeIfAbsent(pool,
				(key) -> this.factory.apply(key, this.rules.serviceRule(key.service())));
		// What came into force before the router could be found was not told to it.
		updateRule(pool, router);
		this.initialization.accept(pool, router);
		return router;
	}

	void applyRules(RuleSet newRules) {
		this.rules = newRules;
		this.routers.forEach(this::updateRule);
	}

	// The rule is read under the lock, so that no thread replaces it by an older one.
	private void updateRule(UpstreamPool pool, R router) {
		synchronized (router) {
			this.ruleUpdate.accept(router, this.rules.serviceRule(pool.service()));
		}
	}

	void forEach(BiConsumer<UpstreamPool, R> action) {
		this.routers.forEach(action);
	}

}
