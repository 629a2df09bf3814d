package org.radishthread.daemon.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
 * Drives {@link GroupFormation}: founds the control group or joins it without an
 * operator.
 */
public final class FormationService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "formation";

	private static final EventLog eventLog = EventLog.of(FormationService.class);

	private static final long TICK_MILLIS = 250;

	private static final long ASK_MILLIS = 1_000;

	private static final long FOUND_MILLIS = 5_000;

	private static final String MARKER = "first-start";

	private final DaemonSettings settings;

	private final ClusterService cluster;

	private final ControlClient control;

	private final TimeSource time;

	private final EventLoop loop = new EventLoop("formation");

	private final GroupFormation formation;

	private volatile boolean busy;

	public FormationService(DaemonSettings settings, ClusterService cluster, ControlClient control, TimeSource time) {
		this.settings = settings;
		this.cluster = cluster;
		this.control = control;
		this.time = time;
		this.formation = new GroupFormation(cluster.replica(), settings.seeds(), rememberFirstStart());
	}

	// The founder may be restarted before it founded the group, and is not told then that
	// the system started for the first time.
	private boolean rememberFirstStart() {
		Path marker = this.settings.dataFolder().resolve("control").resolve(MARKER);
		try {
			if (this.settings.bootstrap().firstStart() && !Files.exists(marker)) {
				try (FileChannel channel = FileChannel.open(marker, StandardOpenOption.CREATE,
						StandardOpenOption.WRITE)) {
					channel.force(true);
				}
			}
			return Files.exists(marker);
		}
		catch (IOException ex) {
			throw new AgreementException("Marker " + marker + " can not be written.", ex);
		}
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.loop.scheduleWithFixedDelay(TICK_MILLIS, this::observe);
	}

	private void observe() {
		if (this.busy) {
			return;
		}
		this.busy = true;
		String own = this.settings.peerAddress().toString();
		this.control.sendTo(own, ControlRequest.newBuilder().setReadStatus(ReadStatus.getDefaultInstance()), ASK_MILLIS)
			.whenComplete((response, failure) -> this.loop.execute(() -> {
				this.busy = false;
				if (response != null) {
					decide(response.getStatus());
				}
			}));
	}

	private void decide(ControlStatus status) {
		boolean member = !status.getRole().equals(ReplicaRole.UNFOUNDED.wireName());
		Observation observed = new Observation(member, status.getLeaderKnown(), liveControl());
		this.formation.nextAction(observed, this.time.monotonicMillis()).ifPresent(this::perform);
	}

	private List<ReplicaDescriptor> liveControl() {
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

	private void perform(MembershipAction step) {
		if (step instanceof BootstrapGroup found) {
			eventLog.information("founding").with("replicas", found.replicas().size()).write();
			this.control
				.sendTo(this.settings.peerAddress().toString(),
						ControlRequest.newBuilder()
							.setInitialize(Initialize.newBuilder().addAllReplicas(found.replicas())),
						FOUND_MILLIS)
				.whenComplete(this::log);
		}
		else if (step instanceof JoinGroup join) {
			eventLog.information("joining").with("replica", Long.toHexString(join.replica().getId())).write();
			this.control
				.sendToLeader(
						ControlRequest.newBuilder().setReplace(ReplaceReplica.newBuilder().setAdded(join.replica())),
						ASK_MILLIS * 2)
				.whenComplete(this::log);
		}
	}

	private void log(ControlResponse response, Throwable failure) {
		eventLog.information("formation-step-ended")
			.with("outcome", (failure != null) ? failure.getMessage() : response.getBodyCase())
			.with("reason", (response != null) ? response.getRefused().getReason() : "")
			.write();
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
