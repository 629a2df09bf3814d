package org.radishthread.routing;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The availability zones whose upstreams get no requests of a service, because operators
 * evacuate them. Not safe for concurrent use.
 */
final class EvacuatedZones {

	// The upstreams of the service by name, shared with the router.
	private final Map<String, UpstreamTracker> trackers;

	private final Set<String> zones = new HashSet<>();

	private boolean allEvacuated;

	EvacuatedZones(Map<String, UpstreamTracker> trackers) {
		this.trackers = trackers;
	}

	// Returns whether the zones differ from the former ones.
	boolean update(Set<String> evacuatedZones) {
		if (this.zones.equals(evacuatedZones)) {
			return false;
		}
		this.zones.clear();
		this.zones.addAll(evacuatedZones);
		return true;
	}

	// To be called after the zones or the upstreams have changed. Returns whether the
	// result of coversAll has changed.
	boolean apply() {
		this.trackers.values()
			.forEach((tracker) -> tracker.setEvacuated(this.zones.contains(tracker.upstream().zone())));
		boolean formerlyAllEvacuated = this.allEvacuated;
		this.allEvacuated = this.trackers.values().stream().anyMatch(UpstreamTracker::wouldAcceptRequests)
				&& this.trackers.values().stream().noneMatch(UpstreamTracker::acceptsRequests);
		return this.allEvacuated != formerlyAllEvacuated;
	}

	// Whether the service has upstreams and all of them are in evacuated zones.
	boolean coversAll() {
		return this.allEvacuated;
	}

}
