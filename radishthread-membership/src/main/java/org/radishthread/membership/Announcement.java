package org.radishthread.membership;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.UpstreamState;

/**
 * What an upstream says of itself.
 *
 * @param name a name that is unique among all upstreams
 * @param service the service that it belongs to
 * @param address its IP number and port
 * @param zone its availability zone
 * @param slots the number of requests that it works on at once
 * @param incarnation grows with each start of the upstream
 * @param sequence grows with each announcement of one incarnation
 * @param state whether it takes new work
 * @param leaseMillis the silence after which it counts as gone, in milliseconds
 */
public record Announcement(String name, String service, String address, String zone, int slots, long incarnation,
		long sequence, UpstreamState state, int leaseMillis) {

	/**
	 * The greatest lease that an upstream may ask for, in milliseconds.
	 */
	public static final int MAXIMUM_LEASE_MILLIS = 10_000;

	public Announcement {
		Assert.hasText(name, "Name of an upstream must not be empty.");
		Assert.isTrue(name.length() <= 128, "Name of an upstream must not exceed 128 characters.");
		Assert.isTrue(service.matches("[a-z0-9][a-z0-9-]{0,62}"), "Service '" + service + "' is not a valid name.");
		Assert.isTrue(zone.length() <= 64, "Availability zone must not exceed 64 characters.");
		Assert.isTrue(slots > 0 && slots <= 10_000, "Slots " + slots + " must be from 1 to 10000.");
		Assert.isTrue(incarnation > 0, "Incarnation " + incarnation + " must be positive.");
		Assert.isTrue(sequence > 0, "Sequence " + sequence + " must be positive.");
		Assert.isTrue(leaseMillis >= 500 && leaseMillis <= MAXIMUM_LEASE_MILLIS,
				"Lease " + leaseMillis + " ms must be from 500 to " + MAXIMUM_LEASE_MILLIS + ".");
	}

}
