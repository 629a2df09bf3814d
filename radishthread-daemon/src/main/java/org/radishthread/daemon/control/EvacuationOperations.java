package org.radishthread.daemon.control;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.UnconfirmedChangeException;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.EvacuationAnswer;
import org.radishthread.protocol.EvacuationOrder;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.ZoneEvacuation;

/**
 * Submits orders to evacuate availability zones, or to use them again, to the control
 * group. It is safe for use by several threads.
 */
public final class EvacuationOperations {

	private static final EventLog eventLog = EventLog.of(EvacuationOperations.class);

	private static final long ORDER_TIMEOUT_MILLIS = 3_000;

	// Operators wait for the answer at least this long before they give another order, so
	// that one that is superseded earlier is still wanted.
	private static final long RESUBMISSION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private final ClusterService cluster;

	private final ControlClient controlClient;

	private final TimeSource time;

	public EvacuationOperations(ClusterService cluster, ControlClient controlClient, TimeSource time) {
		this.cluster = cluster;
		this.controlClient = controlClient;
		this.time = time;
	}

	/**
	 * Orders that a zone be evacuated, or used again. An order for the state that the
	 * zone is in already is accepted, so that orders can be sent again.
	 * @param zone the name of the zone
	 * @param evacuate whether the zone is to be evacuated
	 * @param requestedBy the operator
	 * @return a future with the evacuations after the order is committed; fails with an
	 * {@link UnknownZoneException}, with a {@link ControlTimeoutException}, or with an
	 * {@link UnconfirmedChangeException} if a later order came first
	 */
	public CompletableFuture<Evacuations> order(String zone, boolean evacuate, String requestedBy) {
		if (!this.cluster.view().canOrderEvacuations()) {
			return CompletableFuture.failedFuture(new UnconfirmedChangeException(
					"A control instance runs an earlier version, which knows no evacuations; upgrade it first."));
		}
		long startNanos = this.time.monotonicNanos();
		EvacuationOrder order = EvacuationOrder.newBuilder()
			.setZone(zone)
			.setEvacuate(evacuate)
			.setRequestedBy(requestedBy)
			.setKnownVersion(versionOf(zone, this.cluster.evacuations()))
			.setKnownStateVersion(this.cluster.evacuations().getVersion())
			.build();
		return this.cluster.upstreams().thenCompose((upstreams) -> {
			if (evacuate) {
				requireKnownZone(zone, upstreams);
			}
			return submit(order, startNanos);
		});
	}

	private static long versionOf(String zone, Evacuations evacuations) {
		return evacuations.getZonesList()
			.stream()
			.filter((evacuation) -> evacuation.getZone().equals(zone))
			.mapToLong(ZoneEvacuation::getVersion)
			.findFirst()
			.orElse(0);
	}

	// An instance that is not in contact with the others may not know all zones, so it
	// accepts any.
	private void requireKnownZone(String zone, Iterable<UpstreamRecord> upstreams) {
		Set<String> knownZones = new TreeSet<>();
		this.cluster.view().instances().forEach((view) -> knownZones.add(view.instance().getZone()));
		upstreams.forEach((upstream) -> knownZones.add(upstream.getZone()));
		this.cluster.evacuations().getZonesList().forEach((evacuation) -> knownZones.add(evacuation.getZone()));
		if (!knownZones.contains(zone) && this.cluster.servingState() == ServingState.READY) {
			throw new UnknownZoneException(zone, knownZones);
		}
	}

	private CompletableFuture<Evacuations> submit(EvacuationOrder order, long startNanos) {
		ControlRequest.Builder command = ControlRequest.newBuilder()
			.setCommand(Command.newBuilder().setEvacuation(order));
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(this.time.monotonicNanos() - startNanos);
		return this.controlClient.sendToLeader(command, Math.max(1, ORDER_TIMEOUT_MILLIS - elapsedMillis))
			.thenCompose((response) -> handleAnswer(order, response, startNanos));
	}

	private CompletableFuture<Evacuations> handleAnswer(EvacuationOrder order, ControlResponse response,
			long startNanos) {
		if (!response.hasEvacuation()) {
			throw new UnconfirmedChangeException("The leader of the control group runs an earlier version, which knows"
					+ " no evacuations; upgrade it first.");
		}
		EvacuationAnswer answer = response.getEvacuation();
		eventLog.information("evacuation-ordered")
			.with("zone", order.getZone())
			.with("evacuate", order.getEvacuate())
			.with("requested-by", order.getRequestedBy())
			.with("superseded", answer.getSuperseded())
			.with("version", answer.getEvacuations().getVersion())
			.write();
		this.cluster.offerEvacuations(answer.getEvacuations());
		if (!answer.getSuperseded()) {
			return CompletableFuture.completedFuture(answer.getEvacuations());
		}
		if (this.time.monotonicNanos() - startNanos > RESUBMISSION_PERIOD_NANOS) {
			throw new UnconfirmedChangeException(
					"A later order for zone '" + order.getZone() + "' was accepted before this one.");
		}
		return submit(order.toBuilder().setKnownVersion(versionOf(order.getZone(), answer.getEvacuations())).build(),
				startNanos);
	}

}
