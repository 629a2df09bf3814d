package org.radishthread.routing;

import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The pools into which the upstreams of a service are divided, and their shares of its
 * requests. Immutable.
 */
public final class UpstreamPools {

	private final List<UpstreamPool> pools;

	// The upstreams that accept requests, by pool.
	private final int[] usableUpstreams;

	private UpstreamPools(List<UpstreamPool> pools, int[] usableUpstreams) {
		this.pools = pools;
		this.usableUpstreams = usableUpstreams;
	}

	/**
	 * Divides the upstreams of a service.
	 * @param service the name of the service
	 * @param upstreams its upstreams, those that drain included
	 * @return the pools
	 */
	public static UpstreamPools of(String service, Collection<Upstream> upstreams) {
		int count = UpstreamPool.countFor(upstreams.size());
		List<UpstreamPool> pools = IntStream.range(0, count)
			.mapToObj((index) -> new UpstreamPool(service, index, count))
			.toList();
		int[] usableUpstreams = new int[count];
		upstreams.stream()
			.filter(Upstream::acceptsRequests)
			.forEach((upstream) -> usableUpstreams[UpstreamPool.indexOf(upstream.name(), count)]++);
		return new UpstreamPools(pools, usableUpstreams);
	}

	public List<UpstreamPool> pools() {
		return this.pools;
	}

	/**
	 * Selects the pool of a request. The shares of the pools are those of their upstreams
	 * that accept requests.
	 * @param position a number from zero to below one; such numbers are evenly
	 * distributed
	 * @return the pool
	 */
	public UpstreamPool select(double position) {
		int remaining = (int) (position * IntStream.of(this.usableUpstreams).sum());
		for (UpstreamPool pool : this.pools) {
			remaining -= this.usableUpstreams[pool.index()];
			if (remaining < 0) {
				return pool;
			}
		}
		return this.pools.get(0);
	}

	/**
	 * Selects the pool of a request under which upstreams may crash. It is the same at
	 * all instances, since such requests run one at a time.
	 * @param digest the digest of the request
	 * @return the pool
	 */
	public UpstreamPool selectByDigest(String digest) {
		int index = UpstreamPool.indexOf(digest, this.pools.size());
		for (int offset = 0; offset < this.pools.size(); offset++) {
			int candidate = (index + offset) % this.pools.size();
			if (this.usableUpstreams[candidate] > 0) {
				return this.pools.get(candidate);
			}
		}
		return this.pools.get(index);
	}

}
