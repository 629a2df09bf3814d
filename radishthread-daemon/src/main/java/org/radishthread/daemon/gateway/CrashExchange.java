package org.radishthread.daemon.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.InstanceView;
import org.radishthread.protocol.Envelope;
import org.radishthread.routing.CrashDissemination;
import org.radishthread.routing.CrashDissemination.Message;
import org.radishthread.routing.CrashDissemination.Peer;
import org.radishthread.routing.CrashHistory;
import org.radishthread.routing.RoutingEffect;

/**
 * Exchanges the crashes of upstreams with the other gateways: connects the
 * {@link CrashDissemination} to the peer transport and to a timer. Safe for use by
 * several threads.
 */
public final class CrashExchange implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "crash-exchange";

	private static final EventLog eventLog = EventLog.of(CrashExchange.class);

	private final DaemonSettings settings;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	private final CrashHistory history;

	private final CrashDissemination dissemination;

	private final EventLoop eventLoop = new EventLoop("crash-exchange");

	private final EffectExecutor<Message> messageExecutor = new EffectExecutor<>(eventLog, this::send);

	public CrashExchange(DaemonSettings settings, PeerTransport transport, ClusterService cluster, TimeSource time) {
		this.settings = settings;
		this.transport = transport;
		this.cluster = cluster;
		this.time = time;
		this.history = new CrashHistory(settings.limits().rememberedCrashes());
		this.dissemination = new CrashDissemination(this.history);
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.CRASH_NOTICE,
				(name, address, envelope) -> process((nowNanos) -> {
					this.dissemination.receive(envelope.getCrashNotice(), nowNanos);
					return List.of();
				}));
		this.eventLoop.scheduleWithFixedDelay(CrashDissemination.TICK_INTERVAL_MILLIS,
				() -> process((nowNanos) -> this.dissemination.tick(otherGateways(), nowNanos)));
	}

	CrashHistory history() {
		return this.history;
	}

	void publish(RoutingEffect.CrashFound found) {
		eventLog.warning("upstream-crashed")
			.with("upstream", found.crash().upstream())
			.with("digest", found.crash().digest())
			.with("alone", found.crash().alone())
			.with("crashes", this.history.crashCount(found.crash().digest()))
			.with("quarantine-millis", quarantineMillis(found.crash().digest()))
			.write();
		process((nowNanos) -> this.dissemination.publishCrash(found.crash(), otherGateways(), nowNanos));
	}

	void publish(RoutingEffect.CrashesCleared cleared) {
		eventLog.information("crashes-cleared").with("digest", cleared.digest()).write();
		process((nowNanos) -> this.dissemination.publishClearance(cleared.digest(), cleared.completedAtNanos(),
				otherGateways(), nowNanos));
	}

	private long quarantineMillis(String digest) {
		return Duration.ofNanos(this.history.quarantineNanos(digest, this.time.monotonicNanos())).toMillis();
	}

	private void process(Function<Long, List<Message>> event) {
		List<Message> messages;
		synchronized (this.dissemination) {
			messages = event.apply(this.time.monotonicNanos());
		}
		this.messageExecutor.execute(messages);
	}

	private void send(Message message) {
		this.transport.send(message.address(), Envelope.newBuilder().setCrashNotice(message.notice()).build());
	}

	private Set<Peer> otherGateways() {
		return this.cluster.view()
			.instances()
			.stream()
			.filter(InstanceView::live)
			.map(InstanceView::instance)
			.filter((instance) -> instance.getGateway() && !instance.getName().equals(this.settings.instance()))
			.map((instance) -> new Peer(instance.getPeerAddress(), instance.getIncarnation()))
			.collect(Collectors.toSet());
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
