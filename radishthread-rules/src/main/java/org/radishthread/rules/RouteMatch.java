package org.radishthread.rules;

import java.util.Locale;

import org.radishthread.kernel.Assert;

/**
 * Condition that selects the requests to which a route applies.
 *
 * @param host the host that the request names, in lower case, or empty for any host
 * @param method the HTTP method, or {@code *} for all
 * @param pattern the path pattern; with a host, a pattern that ends in {@code **} matches
 * every path that begins with the text before it
 */
public record RouteMatch(String host, String method, PathPattern pattern) {

	public RouteMatch {
		Assert.isTrue(host.equals(host.toLowerCase(Locale.ROOT)), "Host '" + host + "' must be in lower case.");
	}

	boolean matchesMethod(String requestMethod) {
		return this.method.equals("*") || this.method.equals(requestMethod);
	}

	boolean matches(String requestMethod, String path) {
		return matchesMethod(requestMethod) && this.pattern.matches(path);
	}

	boolean matchesPrefix(String requestMethod, String path) {
		return matchesMethod(requestMethod)
				&& (this.pattern.isPrefix() ? path.startsWith(this.pattern.prefix()) : this.pattern.matches(path));
	}

}
