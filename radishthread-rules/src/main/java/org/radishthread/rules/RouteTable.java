package org.radishthread.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the routes of a rule set by host. Among the routes that name the host of the
 * request, the one with the longest matching path prefix applies. If none matches, the
 * first matching route without a host applies.
 */
final class RouteTable {

	private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();

	private final List<RouteRule> routesForAnyHost = new ArrayList<>();

	RouteTable(List<RouteRule> routes) {
		for (RouteRule route : routes) {
			if (route.match().host().isEmpty()) {
				this.routesForAnyHost.add(route);
			}
			else {
				this.routesByHost.computeIfAbsent(route.match().host(), (host) -> new ArrayList<>()).add(route);
			}
		}
		Comparator<RouteRule> longestPrefixFirst = Comparator
			.comparingInt((RouteRule route) -> route.match().pattern().prefix().length())
			.reversed();
		this.routesByHost.values().forEach((hostRoutes) -> hostRoutes.sort(longestPrefixFirst));
	}

	Optional<RouteRule> find(String host, String method, String path) {
		return this.routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())
			.stream()
			.filter((route) -> route.match().matchesPrefix(method, path))
			.findFirst()
			.or(() -> this.routesForAnyHost.stream().filter((route) -> route.matches(method, path)).findFirst());
	}

}
