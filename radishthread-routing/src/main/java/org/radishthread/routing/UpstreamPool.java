package org.radishthread.routing;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

import org.radishthread.kernel.Assert;

/**
 * Part of the upstreams of a service that has a home of its own. A service with few
 * upstreams has one pool; one with many has several, so that the requests for its slots
 * are divided among as many instances. To which pool an upstream belongs depends on its
 * name and on the number of pools only.
 *
 * @param service the name of the service
 * @param index the number of this pool, from zero
 * @param count the number of pools of the service, a power of two
 */
public record UpstreamPool(String service, int index, int count) {

	/**
	 * The number of upstreams that a pool has at least on average, unless it is the only
	 * one. Its slots must outlast the variation of the requests that come to it, and the
	 * home must be able to probe each upstream about as often as its pace changes.
	 */
	static final int MINIMUM_UPSTREAMS = 8;

	private static final int MAXIMUM_COUNT = 64;

	// Neither is part of the name of a service.
	private static final char INDEX_SEPARATOR = '#';

	private static final char COUNT_SEPARATOR = '/';

	private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	public UpstreamPool {
		Assert.hasText(service, "The name of the service must not be empty.");
		Assert.isTrue(count >= 1 && count <= MAXIMUM_COUNT && Integer.bitCount(count) == 1,
				"Number of pools " + count + " must be a power of two up to " + MAXIMUM_COUNT + ".");
		Assert.isTrue(index >= 0 && index < count, "Pool " + index + " must be one of " + count + ".");
	}

	/**
	 * Returns the only pool of a service that is not divided.
	 * @param service the name of the service
	 * @return the pool
	 */
	public static UpstreamPool whole(String service) {
		return new UpstreamPool(service, 0, 1);
	}

	/**
	 * Returns into how many pools a service is divided.
	 * @param upstreamCount the number of its upstreams
	 * @return the number of pools
	 */
	static int countFor(int upstreamCount) {
		return Math.min(MAXIMUM_COUNT, Integer.highestOneBit(Math.max(1, upstreamCount / MINIMUM_UPSTREAMS)));
	}

	/**
	 * Returns the pool with a key.
	 * @param key the result of {@link #key()}
	 * @return the pool
	 * @throws IllegalArgumentException if the key is not valid
	 */
	public static UpstreamPool of(String key) {
		int indexStart = key.indexOf(INDEX_SEPARATOR);
		if (indexStart < 0) {
			return whole(key);
		}
		int countStart = key.indexOf(COUNT_SEPARATOR, indexStart);
		Assert.isTrue(countStart > 0, "Pool '" + key + "' must state its number and how many there are.");
		return new UpstreamPool(key.substring(0, indexStart),
				Integer.parseInt(key.substring(indexStart + 1, countStart)),
				Integer.parseInt(key.substring(countStart + 1)));
	}

	/**
	 * Returns the text that identifies this pool in messages and logs.
	 * @return the name of the service if it is not divided, else such as
	 * {@code rotaboard#1/4}
	 */
	public String key() {
		return (this.count == 1) ? this.service
				: this.service + INDEX_SEPARATOR + this.index + COUNT_SEPARATOR + this.count;
	}

	/**
	 * Returns whether an upstream of the service belongs to this pool.
	 * @param upstreamName the name of the upstream
	 * @return whether its slots are granted by the home of this pool
	 */
	public boolean contains(String upstreamName) {
		return indexOf(upstreamName, this.count) == this.index;
	}

	// The number of the pool to which a text is assigned.
	static int indexOf(String text, int count) {
		CRC32 checksum = new CRC32();
		checksum.update(text.getBytes(StandardCharsets.UTF_8));
		long hash = checksum.getValue() * HASH_MULTIPLIER;
		return (int) (hash >>> 32) & (count - 1);
	}

}
