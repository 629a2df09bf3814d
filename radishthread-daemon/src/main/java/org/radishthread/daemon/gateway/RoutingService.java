package org.radishthread.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterListener;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.protocol.ZoneEvacuation;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.Upstream;
import org.radishthread.routing.UpstreamConstraints;
import org.radishthread.routing.UpstreamDepartures;
import org.radishthread.routing.UpstreamPool;
import org.radishthread.routing.UpstreamPools;
import org.radishthread.rules.IncrementalRuleParser;
import org.radishthread.rules.KeyCheck;
import org.radishthread.rules.KeyLimits;
import org.radishthread.rules.RouteFinder;
import org.radishthread.rules.RouteRule;
import org.radishthread.rules.RuleSet;
import org.radishthread.rules.ServiceRule;

/**
 * Maintains the router of each service and finds the routes of requests. Applies changes
 * of rules and upstreams to all routers. Safe for use by several threads.
 */
public final class RoutingService implements Service, ClusterListener {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "routing";

	private static final EventLog eventLog = EventLog.of(RoutingService.class);

	// The fractional parts of its multiples are spread evenly over the unit interval.
	private static final double GOLDEN_RATIO_CONJUGATE = (Math.sqrt(5) - 1) / 2;

	private final DaemonSettings settings;

	private final AllotmentService allotments;

	private final CrashExchange crashExchange;

	private final TimeSource time;

	private final UpstreamProber prober;

	private final ReachabilityMonitor reachability;

	private final RouterDirectory<LocalRequestRouter> routers = new RouterDirectory<>(this::createRouter,
			LocalRequestRouter::updateRule, this::initializeRouter);

	private final UpstreamConstraints constraints = new UpstreamConstraints();

	private volatile UpstreamDepartures departures = UpstreamDepartures.NONE;

	private final EventLoop eventLoop = new EventLoop("routing");

	// The announced upstreams by service.
	private volatile Map<String, List<Upstream>> upstreamsByService = Map.of();

	private volatile Map<String, UpstreamPools> poolsByService = Map.of();

	private final AtomicLong poolCounter = new AtomicLong(ThreadLocalRandom.current().nextInt(1 << 16));

	// Accessed on the thread that publishes upstreams only.
	private final UpstreamDecoder upstreamDecoder = new UpstreamDecoder();

	private final Map<Integer, AtomicLong> splitCounters = new ConcurrentHashMap<>();

	private final long splitOffset = ThreadLocalRandom.current().nextInt(1 << 16);

	private final Counter movedRequests;

	private volatile Set<String> evacuatedZones = Set.of();

	// Accessed on the thread that publishes rules only.
	private final IncrementalRuleParser ruleParser = new IncrementalRuleParser();

	private volatile RouteFinder routes = RuleSet.EMPTY.toRouteFinder();

	private volatile KeyCheck keyCheck;

	public RoutingService(DaemonSettings settings, UpstreamClients clients, HttpDialect dialect,
			AllotmentService allotments, CrashExchange crashExchange, ReachabilityMonitor reachability, TimeSource time,
			MeterRegistry meters) {
		this.settings = settings;
		this.keyCheck = new KeyCheck(RuleSet.EMPTY, keyLimits());
		this.allotments = allotments;
		this.crashExchange = crashExchange;
		this.time = time;
		this.prober = new UpstreamProber(clients, dialect, meters);
		this.reachability = reachability;
		reachability.addListener(this::recordReachability);
		this.movedRequests = meters.counter("radishthread.evacuation.moved.requests");
		Gauge.builder("radishthread.zones.evacuated", () -> this.evacuatedZones.size()).register(meters);
		meters.gauge("radishthread.upstreams.cold", this, RoutingService::countColdUpstreams);
	}

	private KeyLimits keyLimits() {
		return new KeyLimits(this.settings.keys().failClosed(), this.settings.keys().revokeMillis(),
				this.settings.limits().rulesApplyMillis());
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		// Routers start when they are first used.
	}

	// The revision of the rules in force, or zero if there are none.
	long revision() {
		return this.routers.rules().revision();
	}

	// Whether the rules in force have workspaces.
	boolean requiresKeys() {
		return this.routers.rules().requiresKeys();
	}

	// The check of callers' keys by the rules in force.
	KeyCheck keyCheck() {
		return this.keyCheck;
	}

	/**
	 * Returns the route of a request. If the route splits its requests among several
	 * services, one of them is selected.
	 * @param host the host of the request, without a port
	 * @param method the HTTP method
	 * @param path the path as sent, without the query
	 * @return the route with a single service, or empty if no rule matches
	 */
	Optional<RouteRule> findRoute(String host, String method, String path) {
		return this.routes.find(host, method, path).map((route) -> route.withServiceAt(nextSplitPosition(route)));
	}

	// Positions lie between zero and one. Successive ones are spread evenly, so that each
	// service receives its share after few requests.
	private double nextSplitPosition(RouteRule route) {
		if (route.split().size() == 1) {
			return 0;
		}
		long sequenceNumber = this.splitCounters
			.computeIfAbsent(route.line(), (line) -> new AtomicLong(this.splitOffset))
			.incrementAndGet();
		return fraction(sequenceNumber * GOLDEN_RATIO_CONJUGATE);
	}

	private static double fraction(double number) {
		return number - Math.floor(number);
	}

	LocalRequestRouter router(UpstreamPool pool) {
		return this.routers.router(pool);
	}

	private LocalRequestRouter createRouter(UpstreamPool pool, ServiceRule rule) {
		return new LocalRequestRouter(pool, rule, this.settings, this.allotments, this.crashExchange, this.time,
				this.prober, this.eventLoop);
	}

	private void initializeRouter(UpstreamPool pool, LocalRequestRouter router) {
		updateUpstreams(pool, router);
		if (isPartitioned(pool.service())) {
			router.recordReachability("", true);
		}
	}

	// The upstreams are read under the lock, so that no thread replaces them by older
	// ones.
	private void updateUpstreams(UpstreamPool pool, LocalRequestRouter router) {
		synchronized (router) {
			router.updateUpstreams(this.upstreamsByService.getOrDefault(pool.service(), List.of())
				.stream()
				.filter((upstream) -> pool.contains(upstream.name()))
				.toList(), this.evacuatedZones);
		}
	}

	private void recordReachability(String service, boolean partitioned) {
		this.routers.forEach((pool, router) -> {
			if (pool.service().equals(service)) {
				router.recordReachability("", partitioned);
			}
		});
	}

	/**
	 * Returns the pools into which the upstreams of a service are divided.
	 * @param service the name of the service
	 * @return the pools
	 */
	UpstreamPools pools(String service) {
		UpstreamPools pools = this.poolsByService.get(service);
		return (pools != null) ? pools : UpstreamPools.of(service, List.of());
	}

	/**
	 * Selects the pool from whose home a slot is requested.
	 * @param service the name of the service
	 * @param digest the digest of the request
	 * @return the pool
	 */
	UpstreamPool selectPool(String service, String digest) {
		UpstreamPools pools = pools(service);
		if (pools.pools().size() == 1) {
			return pools.pools().get(0);
		}
		boolean crashed = !digest.isEmpty() && this.crashExchange.history().crashCount(digest) > 0;
		return crashed ? pools.selectByDigest(digest)
				: pools.select(fraction(this.poolCounter.incrementAndGet() * GOLDEN_RATIO_CONJUGATE));
	}

	// Whether this instance can open connections to the upstreams of a service.
	boolean isPartitioned(String service) {
		return this.reachability.isPartitioned(service);
	}

	// Returns the refusal of a request that is quarantined, or null.
	RoutingEffect.@Nullable Refusal findQuarantine(RoutingRequest request) {
		long quarantineNanos = this.crashExchange.history()
			.quarantineNanos(request.digest(), this.time.monotonicNanos());
		return (quarantineNanos > 0) ? RoutingEffect.Refusal.quarantined(request, quarantineNanos) : null;
	}

	void recordReport(String upstream, @Nullable LoadReport report, AttemptResult result) {
		boolean limitChanged;
		synchronized (this.constraints) {
			if (report != null) {
				this.constraints.record(upstream, report, this.time.monotonicNanos());
			}
			limitChanged = this.constraints.recordLimit(upstream, report, result);
		}
		if (limitChanged) {
			eventLog.information("upstream-limit-changed")
				.with("upstream", upstream)
				.with("per-second", (report != null && report.isLimited()) ? report.limitPerSecond() : "none")
				.write();
		}
	}

	// Returns why this instance may not send an attempt that was granted, or null.
	@Nullable LoadReport findConstraint(String service, RoutingEffect.Dispatch dispatch) {
		LoadReport departure = this.departures.find(dispatch.upstream());
		if (departure != null) {
			eventLog.information("grant-outdated")
				.with("service", service)
				.with("request", dispatch.requestId())
				.with("upstream", dispatch.upstream().name())
				.with("granted-version", dispatch.upstream().version())
				.with("departed-version", departure.departure())
				.with("next", "the grant is returned, and the home leaves the upstream out")
				.write();
			return departure;
		}
		boolean coldnessMatters = this.routers.rules().serviceRule(service).coldRequestsPerSecond() > 0;
		String upstream = dispatch.upstream().name();
		long nowNanos = this.time.monotonicNanos();
		synchronized (this.constraints) {
			if (this.constraints.isEvacuated(dispatch.upstream().name())) {
				this.movedRequests.increment();
			}
			LoadReport constraint = this.constraints.find(dispatch.upstream(), dispatch.limitCounted(), nowNanos);
			if (constraint != null || dispatch.limitCounted() || !coldnessMatters) {
				return constraint;
			}
			return this.constraints.findColdness(upstream, nowNanos);
		}
	}

	private int countColdUpstreams() {
		synchronized (this.constraints) {
			return this.constraints.coldUpstreams(this.time.monotonicNanos());
		}
	}

	@Override
	public void upstreamsChanged(List<UpstreamRecord> records) {
		List<UpstreamRecord> validRecords = this.upstreamDecoder.selectValid(records);
		// The departures come first, so that no request is granted by the new list and
		// checked by the former one.
		this.departures = UpstreamDepartures.of(validRecords.stream().map(UpstreamDecoder::toUpstream).toList());
		List<UpstreamRecord> upstreams = validRecords.stream()
			.filter((record) -> record.getState() != UpstreamState.LEFT)
			.toList();
		this.reachability.updateUpstreams(upstreams);
		synchronized (this.constraints) {
			this.constraints.updateUpstreams(upstreams.stream().map(UpstreamDecoder::toUpstream).toList(),
					this.time.monotonicNanos());
		}
		Map<String, List<Upstream>> upstreamsPerService = upstreams.stream()
			.collect(Collectors.groupingBy(UpstreamRecord::getService,
					Collectors.mapping(UpstreamDecoder::toUpstream, Collectors.toUnmodifiableList())));
		this.upstreamsByService = upstreamsPerService;
		Map<String, UpstreamPools> poolsPerService = new HashMap<>();
		upstreamsPerService
			.forEach((service, members) -> poolsPerService.put(service, UpstreamPools.of(service, members)));
		this.poolsByService = poolsPerService;
		this.routers.forEach(this::updateUpstreams);
	}

	@Override
	public void evacuationsChanged(Evacuations evacuations) {
		Set<String> zones = evacuations.getZonesList()
			.stream()
			.filter(ZoneEvacuation::getEvacuated)
			.map(ZoneEvacuation::getZone)
			.collect(Collectors.toUnmodifiableSet());
		this.evacuatedZones = zones;
		synchronized (this.constraints) {
			this.constraints.updateEvacuatedZones(zones);
		}
		this.routers.forEach((pool, router) -> router.updateEvacuatedZones(zones));
	}

	@Override
	public void rulesChanged(RuleFile file) {
		try {
			RuleSet parsedRules = this.ruleParser.parse("revision-" + file.getRevision(), file.getContent());
			this.keyCheck = new KeyCheck(parsedRules, keyLimits());
			this.allotments.updateRules(parsedRules);
			// The routes come last, so that each request by a new route finds its service
			// with the rule of that revision.
			this.routers.applyRules(parsedRules);
			this.routes = parsedRules.toRouteFinder();
			eventLog.information("rules-parsed")
				.with("revision", file.getRevision())
				.with("parsed-lines", this.ruleParser.parsedLineCount())
				.with("routes", parsedRules.routes().size())
				.write();
		}
		catch (FindingsException ex) {
			// The control group accepts only valid files, so this one was accepted by a
			// newer version that allows more.
			eventLog.failure("rule-file-rejected", ex).with("revision", file.getRevision()).write();
			throw ex;
		}
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
