package org.radishthread.routing;

import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * The upstreams that drain or have left, as this instance knows it. The home of a service
 * may know it later: a grant that was decided on an older announcement is not to be used.
 * A grant that was decided on a newer one is, because the upstream may have come back.
 * Immutable.
 */
public final class UpstreamDepartures {

	/**
	 * No departures.
	 */
	public static final UpstreamDepartures NONE = new UpstreamDepartures(Map.of());

	// Keyed by the name of the upstream.
	private final Map<String, AnnouncementVersion> versions;

	private UpstreamDepartures(Map<String, AnnouncementVersion> versions) {
		this.versions = versions;
	}

	/**
	 * Selects the departed upstreams.
	 * @param upstreams the latest announcements of all upstreams, those that left
	 * included
	 * @return those that accept no requests
	 */
	public static UpstreamDepartures of(Collection<Upstream> upstreams) {
		return new UpstreamDepartures(upstreams.stream()
			.filter((upstream) -> !upstream.acceptsRequests())
			.collect(Collectors.toUnmodifiableMap(Upstream::name, Upstream::version)));
	}

	/**
	 * Returns why a granted upstream must not be used. An equal version does not count:
	 * the lease of an upstream may have expired at this instance alone.
	 * @param upstream the upstream by the announcement that the home knows
	 * @return the report to give to the home, or {@code null} if this instance knows of
	 * no later departure
	 */
	public @Nullable LoadReport find(Upstream upstream) {
		AnnouncementVersion departure = this.versions.get(upstream.name());
		return (departure != null && departure.isNewerThan(upstream.version())) ? LoadReport.departedAs(departure)
				: null;
	}

}
