package org.radishthread.daemon.peer;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;

/**
 * Sends messages to other instances over one TCP connection for each direction. Delivery
 * is not guaranteed: a message is dropped while its peer can not be reached.
 */
public final class PeerTransport implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "peer-transport";

	// Many round trips between availability zones, and less than the second after which a
	// lost opening packet is sent again.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private static final int STOP_MILLIS = 500;

	private final DaemonSettings settings;

	private final Map<Envelope.BodyCase, PeerHandler> handlers = new EnumMap<>(Envelope.BodyCase.class);

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	private final ChannelGroup inbound = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final EventLoopGroup threads = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Counter sentBytes;

	private final Counter sentMessages;

	private @Nullable Channel server;

	public PeerTransport(DaemonSettings settings, MeterRegistry meters) {
		this.settings = settings;
		this.sentBytes = meters.counter("radishthread.peer.sent.bytes");
		this.sentMessages = meters.counter("radishthread.peer.sent.messages");
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Sets who takes the messages of a kind; to be called before {@link #start()}.
	 * @param kind the kind of message
	 * @param handler who takes them
	 */
	public void registerHandler(Envelope.BodyCase kind, PeerHandler handler) {
		this.handlers.put(kind, handler);
	}

	@Override
	public void start() {
		NetworkAddress address = this.settings.peerAddress();
		this.server = new ServerBootstrap().group(this.threads)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					PeerTransport.this.inbound.add(channel);
					new InboundPeer(PeerTransport.this.settings.secrets().peer(), PeerTransport.this::dispatch)
						.install(channel.pipeline());
				}

			})
			.bind(new InetSocketAddress(address.host(), address.port()))
			.syncUninterruptibly()
			.channel();
	}

	private void dispatch(String senderName, String senderAddress, Envelope envelope) {
		PeerHandler handler = this.handlers.get(envelope.getBodyCase());
		if (handler != null) {
			handler.receive(senderName, senderAddress, envelope);
		}
	}

	/**
	 * Sends a message; one to this instance itself is handed over at once.
	 * @param address the peer address of the receiver
	 * @param envelope the message
	 */
	public void send(String address, Envelope envelope) {
		String own = this.settings.peerAddress().toString();
		if (address.equals(own)) {
			dispatch(this.settings.instance(), own, envelope);
			return;
		}
		this.sentMessages.increment();
		this.sentBytes.increment(envelope.getSerializedSize() + PeerPipeline.LENGTH_BYTES);
		this.connections.computeIfAbsent(address, this::open).send(envelope);
	}

	private PeerConnection open(String address) {
		NetworkAddress target = NetworkAddress.parse(address);
		Hello hello = Hello.newBuilder()
			.setInstance(this.settings.instance())
			.setAddress(this.settings.peerAddress().toString())
			.setToken(this.settings.secrets().peer())
			.build();
		Bootstrap bootstrap = new Bootstrap().group(this.threads)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.remoteAddress(new InetSocketAddress(target.host(), target.port()));
		return new PeerConnection(address, bootstrap, hello, () -> this.connections.remove(address));
	}

	/**
	 * Closes all connections from peers, because they may carry messages that are no
	 * longer true.
	 */
	public void closeInbound() {
		this.inbound.close();
	}

	@Override
	public void stop() {
		Channel listening = this.server;
		if (listening != null) {
			listening.close();
		}
		this.connections.values().forEach(PeerConnection::close);
		this.threads.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
	}

}
