package org.radishthread.rules;

import java.time.Duration;
import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Rule that sends the matching requests to one service, or divides them among several
 * services by weight.
 *
 * @param line the line of the rule file, counted from 1
 * @param service the name of the first service of the split
 * @param split the services among which requests are divided, at least one
 * @param match the condition that selects the requests
 * @param mode the delivery mode of the requests
 * @param limits the time limits, priority and attempts of the requests
 * @param requestedBy the person who requested the rule, as named in its comment
 * @param open whether callers need no key
 */
public record RouteRule(int line, String service, List<WeightedService> split, RouteMatch match, RouteMode mode,
		RouteLimits limits, String requestedBy, boolean open) implements LineRule {

	public RouteRule {
		double totalWeight = totalWeight(split);
		Assert.isTrue(totalWeight > 0 && Double.isFinite(totalWeight),
				"The weights of a route must add up to more than zero, and to a finite number.");
	}

	private static double totalWeight(List<WeightedService> split) {
		return split.stream().mapToDouble(WeightedService::weight).sum();
	}

	/**
	 * Matches a request by method and path, whatever its host.
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

	// Returns the route of an equal text in another line.
	RouteRule withLine(int newLine) {
		return (newLine == this.line) ? this : new RouteRule(newLine, this.service, this.split, this.match, this.mode,
				this.limits, this.requestedBy, this.open);
	}

	/**
	 * Returns this route reduced to one service of its split. Positions that are spread
	 * evenly over the interval select the services in proportion to their weights.
	 * @param position a position in the weighted split, from 0 (inclusive) to 1
	 * (exclusive)
	 * @return the route to the service at that position
	 */
	public RouteRule withServiceAt(double position) {
		if (this.split.size() == 1) {
			return this;
		}
		double remainingWeight = position * totalWeight(this.split);
		WeightedService selected = this.split.get(0);
		for (WeightedService candidate : this.split) {
			if (candidate.weight() > 0) {
				selected = candidate;
				remainingWeight -= candidate.weight();
			}
			if (remainingWeight < 0) {
				break;
			}
		}
		return new RouteRule(this.line, selected.service(), List.of(selected), this.match, this.mode, this.limits,
				this.requestedBy, this.open);
	}

}
