package org.radishthread.daemon.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.radishthread.agreement.AgreementException;
import org.radishthread.agreement.GroupFormation;
import org.radishthread.agreement.GroupFormation.BootstrapGroup;
import org.radishthread.agreement.GroupFormation.JoinGroup;
import org.radishthread.agreement.GroupFormation.MembershipAction;
import org.radishthread.agreement.GroupFormation.Observation;
import org.radishthread.agreement.ReplicaRole;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.DurableFile;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ControlStatus;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.ReadStatus;
import org.radishthread.protocol.ReplaceReplica;
import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Makes the replica of this instance a member of the control group without an operator:
 * bootstraps the group or joins an existing one, as {@link GroupFormation} decides.
 */
public final class FormationService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "formation";

	private static final EventLog eventLog = EventLog.of(FormationService.class);

	private static final long TICK_INTERVAL_MILLIS = 250;

	private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

	private static final long BOOTSTRAP_TIMEOUT_MILLIS = 5_000;

	private static final String FIRST_START_MARKER = "first-start";

	private final DaemonSettings settings;

	private final ClusterService cluster;

	private final ControlClient controlClient;

	private final TimeSource time;

	private final EventLoop eventLoop = new EventLoop("formation");

	private final GroupFormation formation;

	private volatile boolean statusRequestPending;

	public FormationService(DaemonSettings settings, ClusterService cluster, ControlClient controlClient,
			TimeSource time) {
		this.settings = settings;
		this.cluster = cluster;
		this.controlClient = controlClient;
		this.time = time;
		this.formation = new GroupFormation(cluster.replica(), settings.seeds(), persistFirstStart(), settings.group());
	}

	// An instance that restarts before it bootstrapped the group must still know that
	// the system is new, though its settings no longer say so; hence the marker file.
	private boolean persistFirstStart() {
		Path folder = this.settings.dataFolder().resolve("control");
		Path marker = folder.resolve(FIRST_START_MARKER);
		try {
			if (this.settings.bootstrap().firstStart() && !Files.exists(marker)) {
				DurableFile.replace(folder, FIRST_START_MARKER, new byte[0]);
			}
			return Files.exists(marker);
		}
		catch (IOException ex) {
			throw new AgreementException("First-start marker file '" + marker + "' cannot be created.", ex);
		}
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.eventLoop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, this::requestStatus);
	}

	private void requestStatus() {
		if (this.statusRequestPending) {
			return;
		}
		this.statusRequestPending = true;
		String ownAddress = this.settings.peerAddress().toString();
		this.controlClient
			.sendTo(ownAddress, ControlRequest.newBuilder().setReadStatus(ReadStatus.getDefaultInstance()),
					REQUEST_TIMEOUT_MILLIS)
			.whenComplete((response, failure) -> this.eventLoop.execute(() -> {
				this.statusRequestPending = false;
				if (response != null) {
					decideNextAction(response.getStatus());
				}
			}));
	}

	private void decideNextAction(ControlStatus status) {
		boolean member = !status.getRole().equals(ReplicaRole.UNFOUNDED.wireName());
		Observation observation = new Observation(member, status.getLeaderKnown(), liveControlReplicas());
		this.formation.nextAction(observation, this.time.monotonicMillis()).ifPresent(this::perform);
	}

	private List<ReplicaDescriptor> liveControlReplicas() {
		return this.cluster.view()
			.instances()
			.stream()
			.filter((view) -> view.live() && view.instance().getControl() && !view.instance().getLeaving())
			.map((view) -> ReplicaDescriptor.newBuilder()
				.setId(view.instance().getReplica())
				.setInstance(view.instance().getName())
				.setAddress(view.instance().getPeerAddress())
				.build())
			.toList();
	}

	private void perform(MembershipAction action) {
		if (action instanceof BootstrapGroup bootstrapGroup) {
			eventLog.information("group-bootstrap-requested")
				.with("replicas", bootstrapGroup.replicas().size())
				.write();
			this.controlClient
				.sendTo(this.settings.peerAddress().toString(),
						ControlRequest.newBuilder()
							.setInitialize(Initialize.newBuilder().addAllReplicas(bootstrapGroup.replicas())),
						BOOTSTRAP_TIMEOUT_MILLIS)
				.whenComplete(this::logOutcome);
		}
		else if (action instanceof JoinGroup joinGroup) {
			eventLog.information("group-join-requested")
				.with("replica", Long.toHexString(joinGroup.replica().getId()))
				.write();
			this.controlClient
				.sendToLeader(
						ControlRequest.newBuilder()
							.setReplace(ReplaceReplica.newBuilder().setAdded(joinGroup.replica())),
						REQUEST_TIMEOUT_MILLIS * 2)
				.whenComplete(this::logOutcome);
		}
	}

	private void logOutcome(ControlResponse response, Throwable failure) {
		eventLog.information("formation-action-completed")
			.with("outcome", (failure != null) ? failure.getMessage() : response.getBodyCase())
			.with("reason", (response != null) ? response.getRefused().getReason() : "")
			.write();
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
