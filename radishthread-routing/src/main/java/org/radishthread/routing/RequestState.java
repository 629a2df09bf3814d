package org.radishthread.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The state of an open request in the {@link ServiceRouter}: the upstreams it was sent to
 * and its attempts in flight. Points in time are monotonic, in nanoseconds. Not safe for
 * concurrent use.
 */
final class RequestState {

	private final RoutingRequest request;

	// Whether this instance routes the request as the home of the service.
	private final boolean home;

	private final Set<String> triedUpstreams = new HashSet<>();

	// The instances that relayed an attempt.
	private final Set<String> triedRelays = new HashSet<>();

	private int unreachedAttempts;

	private int returnedGrants;

	// Keyed by the name of the upstream.
	private final Map<String, AttemptStart> attemptsInFlight = new HashMap<>();

	// The upstream that is kept free of other requests for an attempt of this one.
	private @Nullable UpstreamTracker exclusiveUpstream;

	// Whether an attempt may have arrived at an upstream.
	private boolean arrived;

	private boolean closed;

	RequestState(RoutingRequest request, boolean home) {
		this.request = request;
		this.home = home;
	}

	RoutingRequest request() {
		return this.request;
	}

	boolean isRoutedByHome() {
		return this.home;
	}

	Set<String> triedUpstreams() {
		return this.triedUpstreams;
	}

	Set<String> triedRelays() {
		return this.triedRelays;
	}

	Map<String, AttemptStart> attemptsInFlight() {
		return this.attemptsInFlight;
	}

	@Nullable UpstreamTracker exclusiveUpstream() {
		return this.exclusiveUpstream;
	}

	void setExclusiveUpstream(@Nullable UpstreamTracker tracker) {
		this.exclusiveUpstream = tracker;
	}

	boolean hasArrived() {
		return this.arrived;
	}

	void recordResult(AttemptResult result) {
		this.arrived |= result.mayHaveArrived();
		if (result == AttemptResult.UNREACHABLE) {
			this.unreachedAttempts++;
		}
		else if (result == AttemptResult.RETURNED) {
			this.returnedGrants++;
		}
	}

	// The number of attempts that could not connect, so that they reached no upstream.
	int unreachedAttempts() {
		return this.unreachedAttempts;
	}

	// The number of attempts that count against the limit of the route.
	int countedAttempts() {
		return this.triedUpstreams.size() - this.unreachedAttempts - this.returnedGrants;
	}

	boolean isClosed() {
		return this.closed;
	}

	void markClosed() {
		this.closed = true;
	}

	// An upstream with a limit takes only requests that the home counts.
	boolean mayUse(UpstreamTracker tracker, long nowNanos) {
		return !tracker.refuses(this.request.origin(), nowNanos) && (this.home || !tracker.isLimited(nowNanos))
				&& !this.triedUpstreams.contains(tracker.upstream().name());
	}

	/**
	 * The start of an attempt.
	 *
	 * @param startNanos the time of the dispatch
	 * @param inFlight the number of attempts in flight at the upstream, with this one
	 * @param pace the pace of the upstream at that time
	 * @param relay the instance that relays the attempt, or {@code null} for none
	 * @param budgeted whether the attempt was taken from the retry budget
	 */
	record AttemptStart(long startNanos, int inFlight, AttemptPace pace, @Nullable String relay, boolean budgeted) {
	}

}
