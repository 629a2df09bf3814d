package org.radishthread.rules;

import org.radishthread.kernel.Assert;

/**
 * Asks the upstreams of a service how fast they work at this moment.
 *
 * @param path the path of the request that asks
 * @param perSecond the greatest number of such requests to one upstream in a second
 */
public record PaceProbing(String path, int perSecond) {

	public PaceProbing {
		Assert.isTrue(path.startsWith("/"), "Path '" + path + "' must start with a slash.");
		Assert.isTrue(perSecond > 0, "Number " + perSecond + " of probes must be positive.");
	}

}
