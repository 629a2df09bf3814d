package org.radishthread.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request. Among the routes of the host that the request names, the
 * one with the longest prefix applies; after them, the first that names no host.
 */
final class RouteTable {

	private final Map<String, List<RouteRule>> byHost = new HashMap<>();

	private final List<RouteRule> anyHost = new ArrayList<>();

	RouteTable(List<RouteRule> routes) {
		for (RouteRule route : routes) {
			if (route.match().host().isEmpty()) {
				this.anyHost.add(route);
			}
			else {
				this.byHost.computeIfAbsent(route.match().host(), (host) -> new ArrayList<>()).add(route);
			}
		}
		Comparator<RouteRule> longestFirst = Comparator
			.comparingInt((RouteRule route) -> route.match().pattern().prefix().length())
			.reversed();
		this.byHost.values().forEach((candidates) -> candidates.sort(longestFirst));
	}

	Optional<RouteRule> find(String host, String method, String path) {
		return this.byHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())
			.stream()
			.filter((route) -> route.match().matchesPrefix(method, path))
			.findFirst()
			.or(() -> this.anyHost.stream().filter((route) -> route.matches(method, path)).findFirst());
	}

}
