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
 * @param sequence a number that increases with each change of the announcement
 * @param coldMillis how much longer it was cold at the time of that announcement, in
 * milliseconds, or zero if it was not
 */
public record Upstream(String name, String address, String zone, int slots, long incarnation, boolean acceptsRequests,
		long sequence, long coldMillis) {

	public Upstream {
		Assert.hasText(name, "Name of an upstream must not be empty.");
		Assert.isTrue(slots > 0, "Slots " + slots + " of upstream '" + name + "' must be positive.");
		Assert.isTrue(coldMillis >= 0, "Cold time " + coldMillis + " ms of '" + name + "' must not be negative.");
	}

	public Upstream(String name, String address, String zone, int slots, long incarnation, boolean acceptsRequests) {
		this(name, address, zone, slots, incarnation, acceptsRequests, 0, 0);
	}

	/**
	 * Returns the version of the announcement.
	 * @return the version
	 */
	public AnnouncementVersion version() {
		return new AnnouncementVersion(this.incarnation, this.sequence);
	}

}
