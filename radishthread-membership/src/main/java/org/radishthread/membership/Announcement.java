package org.radishthread.membership;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.ServiceName;
import org.radishthread.protocol.UpstreamState;

/**
 * The message by which an upstream registers itself and renews its lease.
 *
 * @param name the name of the upstream, unique among all upstreams
 * @param service the service that the upstream belongs to
 * @param address the IP address and port of the upstream
 * @param zone the availability zone of the upstream
 * @param slots the number of requests that the upstream processes concurrently
 * @param incarnation a positive number that grows with each start of the upstream
 * @param sequence a positive number that grows with each announcement of one incarnation
 * @param state whether the upstream accepts new requests
 * @param leaseMillis the time without an announcement after which the upstream counts as
 * left, in milliseconds
 * @param coldMillis how much longer the upstream is cold, in milliseconds, or zero if it
 * is not, or does not tell
 */
public record Announcement(String name, String service, String address, String zone, int slots, long incarnation,
		long sequence, UpstreamState state, int leaseMillis, int coldMillis) {

	/**
	 * The maximum lease of an upstream, in milliseconds.
	 */
	public static final int MAXIMUM_LEASE_MILLIS = 10_000;

	/**
	 * The longest time for which an upstream can announce that it is cold, in
	 * milliseconds. A later announcement can extend it.
	 */
	public static final int MAXIMUM_COLD_MILLIS = 600_000;

	// Leaves room for the numbers of a withdrawal, which are greater.
	private static final long MAXIMUM_NUMBER = Long.MAX_VALUE / 2;

	public Announcement {
		Assert.hasText(name, "Name of an upstream must not be empty.");
		Assert.isTrue(name.length() <= 128, "Name of an upstream must not exceed 128 characters.");
		Assert.isTrue(ServiceName.isValid(service), "Service '" + service + "' is not a valid name.");
		Assert.isTrue(zone.length() <= 64, "Availability zone must not exceed 64 characters.");
		Assert.isTrue(slots > 0 && slots <= 10_000, "Slots " + slots + " must be from 1 to 10000.");
		Assert.isTrue(NetworkAddress.parse(address).port() > 0, "Port of address " + address + " must not be 0.");
		Assert.isTrue(incarnation > 0 && incarnation <= MAXIMUM_NUMBER,
				"Incarnation " + incarnation + " must be from 1 to " + MAXIMUM_NUMBER + ".");
		Assert.isTrue(sequence > 0 && sequence <= MAXIMUM_NUMBER,
				"Sequence " + sequence + " must be from 1 to " + MAXIMUM_NUMBER + ".");
		Assert.isTrue(leaseMillis >= 500 && leaseMillis <= MAXIMUM_LEASE_MILLIS,
				"Lease " + leaseMillis + " ms must be from 500 to " + MAXIMUM_LEASE_MILLIS + ".");
		Assert.isTrue(coldMillis >= 0 && coldMillis <= MAXIMUM_COLD_MILLIS,
				"Cold time " + coldMillis + " ms must be from 0 to " + MAXIMUM_COLD_MILLIS + ".");
	}

	public Announcement(String name, String service, String address, String zone, int slots, long incarnation,
			long sequence, UpstreamState state, int leaseMillis) {
		this(name, service, address, zone, slots, incarnation, sequence, state, leaseMillis, 0);
	}

}
