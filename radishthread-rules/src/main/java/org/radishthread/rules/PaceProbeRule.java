package org.radishthread.rules;

import org.radishthread.kernel.Assert;

/**
 * Asks the upstreams of a service how fast they work at this moment.
 *
 * @param path the path of the request that asks
 * @param maximumProbesPerSecond the greatest number of such requests to one upstream in a
 * second
 */
public record PaceProbeRule(String path, int maximumProbesPerSecond) {

	public PaceProbeRule {
		Assert.isTrue(path.startsWith("/"), "Path '" + path + "' must start with a slash.");
		Assert.isTrue(maximumProbesPerSecond > 0, "Number " + maximumProbesPerSecond + " of probes must be positive.");
	}

}
