package org.radishthread.routing;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * The latest announcements of the upstreams as this instance knows them, by which it
 * checks grants. The home of a service may know them later: a grant that was decided on
 * an older announcement is not to be used if the upstream drains or has left since, or
 * was started anew. A grant that was decided on a newer one is. Immutable.
 */
public final class UpstreamDepartures {

	/**
	 * No announcements.
	 */
	public static final UpstreamDepartures NONE = new UpstreamDepartures(Map.of());

	// Keyed by the name of the upstream.
	private final Map<String, Upstream> upstreams;

	private UpstreamDepartures(Map<String, Upstream> upstreams) {
		this.upstreams = upstreams;
	}

	/**
	 * Creates the knowledge of the latest announcements.
	 * @param upstreams the announced upstreams, those that left included
	 * @return the announcements
	 */
	public static UpstreamDepartures of(Collection<Upstream> upstreams) {
		return new UpstreamDepartures(
				upstreams.stream().collect(Collectors.toUnmodifiableMap(Upstream::name, Function.identity())));
	}

	/**
	 * Returns why a granted upstream must not be used. An equal version does not count:
	 * the lease of an upstream may have expired at this instance alone.
	 * @param granted the upstream by the announcement that the home knows
	 * @return the report to give to the home, or {@code null} if this instance knows of
	 * no later departure
	 */
	public @Nullable LoadReport find(Upstream granted) {
		Upstream known = this.upstreams.get(granted.name());
		if (known == null || !known.version().isNewerThan(granted.version())) {
			return null;
		}
		// A home of an earlier version does not tell what it knows.
		boolean versionTold = !granted.version().equals(AnnouncementVersion.NONE);
		boolean startedAnew = versionTold && known.incarnation() > granted.incarnation();
		return (!known.acceptsRequests() || startedAnew) ? LoadReport.departedAs(known.version()) : null;
	}

}
