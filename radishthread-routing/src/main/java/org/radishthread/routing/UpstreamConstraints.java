package org.radishthread.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Remembers to which upstreams this instance must send no requests: because they told it
 * that they leave, for some time, beyond a limit that all instances share, or because
 * they are cold, or because operators evacuate their availability zone. The home of a
 * service may not know it yet when it grants a slot, such as after the home changed.
 * Points in time are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class UpstreamConstraints {

	// A grant that is still not counted after the home was told the limit shows that the
	// home knows of its end.
	private static final long LIMIT_TOLD_PERIOD_NANOS = 1_000_000_000L;

	// Longer than the home takes to learn of the evacuation, which it then keeps itself.
	private static final long EVACUATION_TOLD_MILLIS = 1_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	// This and the following map are keyed by the name of the upstream.
	private final Map<String, Constraint> constraints = new HashMap<>();

	private final Map<String, Long> incarnations = new HashMap<>();

	// Keyed by the name of the upstream.
	private final Map<String, NamedLimit> limits = new HashMap<>();

	// Keyed by the name of the upstream.
	private final Map<String, String> zones = new HashMap<>();

	private final Set<String> evacuatedZones = new HashSet<>();

	// Whether each announced upstream is cold, by name.
	private final Map<String, Coldness> coldness = new HashMap<>();

	/**
	 * Sets the announced upstreams. A new incarnation of an upstream is not bound by what
	 * an earlier one reported.
	 * @param upstreams all announced upstreams of all services
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void updateUpstreams(List<Upstream> upstreams, long nowNanos) {
		this.coldness.keySet().retainAll(upstreams.stream().map(Upstream::name).collect(Collectors.toSet()));
		upstreams.forEach((upstream) -> this.coldness.computeIfAbsent(upstream.name(), (name) -> new Coldness()).period
			.recordAnnouncement(upstream, nowNanos));
		// The incarnation of a bound upstream is kept while it is not announced.
		this.incarnations.keySet()
			.removeIf((name) -> !this.constraints.containsKey(name) && !this.limits.containsKey(name));
		this.zones.clear();
		for (Upstream upstream : upstreams) {
			this.zones.put(upstream.name(), upstream.zone());
			Long formerIncarnation = this.incarnations.put(upstream.name(), upstream.incarnation());
			if (formerIncarnation != null && upstream.incarnation() > formerIncarnation) {
				this.constraints.remove(upstream.name());
				this.limits.remove(upstream.name());
			}
		}
	}

	/**
	 * Sets the availability zones that operators evacuate.
	 * @param updatedZones the names of all evacuated zones
	 */
	public void updateEvacuatedZones(Set<String> updatedZones) {
		this.evacuatedZones.clear();
		this.evacuatedZones.addAll(updatedZones);
	}

	/**
	 * Returns whether operators evacuate the availability zone of an upstream.
	 * @param upstream the name of the upstream
	 * @return whether no request may be sent to it for that reason
	 */
	public boolean isEvacuated(String upstream) {
		return this.evacuatedZones.contains(this.zones.get(upstream));
	}

	/**
	 * Records what an upstream reported with a response.
	 * @param upstream the name of the upstream
	 * @param report the report
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void record(String upstream, LoadReport report, long nowNanos) {
		this.coldness.computeIfAbsent(upstream, (name) -> new Coldness()).period.recordReport(report, nowNanos);
		if (!report.leaving() && report.refusedMillis() == 0) {
			return;
		}
		Constraint former = this.constraints.getOrDefault(upstream, new Constraint(false, nowNanos));
		long untilNanos = nowNanos + Duration.ofMillis(report.refusedMillis()).toNanos();
		this.constraints.put(upstream,
				new Constraint(former.leaving() || report.leaving(), Math.max(former.refusedUntilNanos(), untilNanos)));
	}

	/**
	 * Records the limit that an upstream named with a response, or that it named none.
	 * @param upstream the name of the upstream
	 * @param report the report in the response, or {@code null}
	 * @param result the result of the attempt; without a response it tells nothing
	 * @return whether a limit began or ended
	 */
	public boolean recordLimit(String upstream, @Nullable LoadReport report, AttemptResult result) {
		if (report != null && report.isLimited()) {
			NamedLimit former = this.limits.get(upstream);
			this.limits.put(upstream,
					new NamedLimit(report.limitPerSecond(), (former != null) ? former.toldNanos() : NEVER));
			return former == null;
		}
		return result == AttemptResult.SUCCESS && this.limits.remove(upstream) != null;
	}

	/**
	 * Returns why a granted upstream must not be used now. What an earlier incarnation
	 * said does not bind a later one, which the home may know first; and the home is told
	 * which incarnation it was.
	 * @param granted the upstream by the announcement that the home knows
	 * @param limitCounted whether the home counted the request against a limit
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the report to give to the home, or {@code null} if requests may be sent
	 */
	public @Nullable LoadReport find(Upstream granted, boolean limitCounted, long nowNanos) {
		Long incarnation = this.incarnations.get(granted.name());
		if (incarnation != null && granted.incarnation() > incarnation && !isEvacuated(granted.name())) {
			return null;
		}
		LoadReport report = find(granted.name(), limitCounted, nowNanos);
		return (report != null && report.leaving() && incarnation != null)
				? LoadReport.departedAs(AnnouncementVersion.lastOf(incarnation)) : report;
	}

	/**
	 * Returns why no request may be sent to an upstream now. A limit is returned at
	 * intervals only, because the home then keeps it.
	 * @param upstream the name of the upstream
	 * @param limitCounted whether the home counted the request against a limit
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the report to give to the home, or {@code null} if requests may be sent
	 */
	public @Nullable LoadReport find(String upstream, boolean limitCounted, long nowNanos) {
		LoadReport report = findConstraint(upstream, nowNanos);
		NamedLimit limit = this.limits.get(upstream);
		if (report != null || limitCounted || limit == null || nowNanos - limit.toldNanos() < LIMIT_TOLD_PERIOD_NANOS) {
			return report;
		}
		this.limits.put(upstream, new NamedLimit(limit.perSecond(), nowNanos));
		return LoadReport.limitedTo(limit.perSecond());
	}

	/**
	 * Returns whether no request that the home did not count may be sent to an upstream
	 * now, because it is cold. As for a limit, that is returned at intervals only.
	 * @param upstream the name of the upstream
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the report to give to the home, or {@code null} if requests may be sent
	 */
	public @Nullable LoadReport findColdness(String upstream, long nowNanos) {
		Coldness known = this.coldness.get(upstream);
		if (known == null || !known.period.isCold(nowNanos) || nowNanos - known.toldNanos < LIMIT_TOLD_PERIOD_NANOS) {
			return null;
		}
		known.toldNanos = nowNanos;
		return LoadReport.coldFor(known.period.remainingMillis(nowNanos));
	}

	/**
	 * Returns the number of upstreams that are cold.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the count
	 */
	public int coldUpstreams(long nowNanos) {
		return (int) this.coldness.values().stream().filter((known) -> known.period.isCold(nowNanos)).count();
	}

	private @Nullable LoadReport findConstraint(String upstream, long nowNanos) {
		if (isEvacuated(upstream)) {
			return LoadReport.refusedFor(EVACUATION_TOLD_MILLIS);
		}
		Constraint constraint = this.constraints.get(upstream);
		if (constraint == null) {
			return null;
		}
		if (constraint.leaving()) {
			return LoadReport.LEAVING;
		}
		long refusedMillis = Duration.ofNanos(constraint.refusedUntilNanos() - nowNanos).toMillis();
		return (refusedMillis > 0) ? LoadReport.refusedFor(refusedMillis) : null;
	}

	private record Constraint(boolean leaving, long refusedUntilNanos) {
	}

	private static final class Coldness {

		private final ColdPeriod period = new ColdPeriod();

		// The time at which the home was last told.
		private long toldNanos = NEVER;

	}

	private record NamedLimit(double perSecond, long toldNanos) {
	}

}
