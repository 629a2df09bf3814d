package org.radishthread.rules;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishthread.kernel.Assert;

/**
 * The checked content of one rule file.
 *
 * @param revision the revision that the file names, greater than zero; zero stands for
 * the empty set in force before the first file
 * @param services the service rules by name
 * @param routes the routes in the order of the file
 * @param callerLimits bounds of what callers may send
 */
public record RuleSet(long revision, Map<String, ServiceRule> services, List<RouteRule> routes,
		CallerLimits callerLimits) {

	/**
	 * The rules in force before the first file is accepted.
	 */
	public static final RuleSet EMPTY = new RuleSet(0, Map.of(), List.of(), CallerLimits.DEFAULTS);

	public RuleSet {
		Assert.isTrue(revision >= 0, "Revision " + revision + " must not be negative.");
	}

	/**
	 * Finds the first route that applies to a request to any host.
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @return the route, if any
	 */
	public Optional<RouteRule> findRoute(String method, String path) {
		return toRouteFinder().find("", method, path);
	}

	/**
	 * Returns a finder of routes, to be made once for each set of rules.
	 * @return the finder
	 */
	public RouteFinder toRouteFinder() {
		return new RouteTable(this.routes)::find;
	}

	/**
	 * Returns the limits of a service.
	 * @param service the name of the service
	 * @return its rule or the defaults
	 */
	public ServiceRule serviceRule(String service) {
		ServiceRule rule = this.services.get(service);
		return (rule != null) ? rule : ServiceRule.defaults(service);
	}

}
