package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * An upstream of a service, as described by its latest announcement.
 *
 * @param name its unique name
 * @param address its IP address and port
 * @param zone its availability zone
 * @param slots the number of requests that it processes concurrently
 * @param incarnation a number that increases with each start of the upstream
 * @param acceptsRequests whether it accepts new requests; {@code false} while it drains
 */
public record Upstream(String name, String address, String zone, int slots, long incarnation, boolean acceptsRequests) {

	public Upstream {
		Assert.hasText(name, "Name of an upstream must not be empty.");
		Assert.isTrue(slots > 0, "Slots " + slots + " of upstream '" + name + "' must be positive.");
	}

}
