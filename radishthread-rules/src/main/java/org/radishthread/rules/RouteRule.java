package org.radishthread.rules;

import java.time.Duration;
import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Sends the requests that match to a service, or divides them among several.
 *
 * @param line the line of the rule file, counted from 1
 * @param service the name of the service; of several, the first
 * @param split the services among which requests are divided, at least one
 * @param match the requests to which the route applies
 * @param mode how often the request may be sent
 * @param limits bounds and aims
 * @param requestedBy who asked for the rule
 */
public record RouteRule(int line, String service, List<WeightedService> split, RouteMatch match, RouteMode mode,
		RouteLimits limits, String requestedBy) {

	public RouteRule {
		Assert.isTrue(totalWeight(split) > 0, "The weights of a route must add up to more than zero.");
	}

	private static double totalWeight(List<WeightedService> split) {
		return split.stream().mapToDouble(WeightedService::weight).sum();
	}

	/**
	 * Matches a request.
	 * @param requestMethod the HTTP method
	 * @param path the path without the query
	 * @return whether this rule applies
	 */
	public boolean matches(String requestMethod, String path) {
		return this.match.matches(requestMethod, path);
	}

	public Duration timeout() {
		return this.limits.timeout();
	}

	/**
	 * Returns this route with one of its services as the only one.
	 * @param position a place from 0 to less than 1; equal distances stand for equal
	 * shares of the requests
	 * @return the route to the service at that place
	 */
	public RouteRule withServiceAt(double position) {
		if (this.split.size() == 1) {
			return this;
		}
		double left = position * totalWeight(this.split);
		WeightedService chosen = this.split.get(0);
		for (WeightedService candidate : this.split) {
			if (candidate.weight() > 0) {
				chosen = candidate;
				left -= candidate.weight();
			}
			if (left < 0) {
				break;
			}
		}
		return new RouteRule(this.line, chosen.service(), List.of(chosen), this.match, this.mode, this.limits,
				this.requestedBy);
	}

}
