package org.radishthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.radishthread.rules.RuleSet;
import org.radishthread.rules.ServiceRule;

/**
 * Holds the rules in force and the router of each service. A router is created when it is
 * first needed, and is told each rule of its service that comes into force, however that
 * coincides with its creation. Safe for use by several threads.
 *
 * @param <R> the type of the routers
 */
final class RouterDirectory<R> {

	private final Function<ServiceRule, R> factory;

	private final BiConsumer<R, ServiceRule> ruleUpdate;

	private final Map<String, R> routers = new ConcurrentHashMap<>();

	private volatile RuleSet rules = RuleSet.EMPTY;

	/**
	 * Creates a directory without rules and routers.
	 * @param factory the function that creates the router of a service from its rule
	 * @param ruleUpdate the function that tells a router a changed rule
	 */
	RouterDirectory(Function<ServiceRule, R> factory, BiConsumer<R, ServiceRule> ruleUpdate) {
		this.factory = factory;
		this.ruleUpdate = ruleUpdate;
	}

	RuleSet rules() {
		return this.rules;
	}

	R router(String service) {
		R existing = this.routers.get(service);
		if (existing != null) {
			return existing;
		}
		R router = this.routers.computeIfAbsent(service, (name) -> this.factory.apply(this.rules.serviceRule(name)));
		// Rules that came into force before the router could be found were not told to
		// it.
		updateRule(service, router);
		return router;
	}

	void applyRules(RuleSet newRules) {
		this.rules = newRules;
		this.routers.forEach(this::updateRule);
	}

	// The rule is read under the lock, so that no thread replaces it by an older one.
	private void updateRule(String service, R router) {
		synchronized (router) {
			this.ruleUpdate.accept(router, this.rules.serviceRule(service));
		}
	}

	void forEach(BiConsumer<String, R> action) {
		this.routers.forEach(action);
	}

}
