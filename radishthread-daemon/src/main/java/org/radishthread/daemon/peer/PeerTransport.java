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
 * Exchanges messages with other instances over one TCP connection for each direction.
 * Delivery is not guaranteed: a message is dropped while its recipient cannot be reached.
 * All methods may be called on any thread, unless stated otherwise.
 */
public final class PeerTransport implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "peer-transport";

	// Many round trips between availability zones, and less than the second after
	// which TCP retransmits a lost SYN packet.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private static final int STOP_TIMEOUT_MILLIS = 500;

	private final DaemonSettings settings;

	private final Map<Envelope.BodyCase, PeerMessageHandler> handlers = new EnumMap<>(Envelope.BodyCase.class);

	private final Map<String, OutboundPeerConnection> connections = new ConcurrentHashMap<>();

	private final ChannelGroup inboundChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Counter sentBytes;

	// The bytes that compression saved of those that are counted as sent.
	private final Counter savedBytes;

	private final Counter sentMessages;

	private UpstreamConnectionListener upstreamListener = UpstreamConnectionListener.NONE;

	private @Nullable Channel serverChannel;

	public PeerTransport(DaemonSettings settings, MeterRegistry meters) {
		this.settings = settings;
		this.sentBytes = meters.counter("radishthread.peer.sent.bytes");
		this.savedBytes = meters.counter("radishthread.peer.saved.bytes");
		this.sentMessages = meters.counter("radishthread.peer.sent.messages");
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Registers the handler of one type of message, replacing a previous one. To be
	 * called before {@link #start()}.
	 * @param type the type of message
	 * @param handler the handler of the messages
	 */
	public void registerHandler(Envelope.BodyCase type, PeerMessageHandler handler) {
		this.handlers.put(type, handler);
	}

	/**
	 * Sets the listener for the connections that this instance opens as a relay. To be
	 * called before {@link #start()}.
	 * @param listener the listener
	 */
	public void setUpstreamListener(UpstreamConnectionListener listener) {
		this.upstreamListener = listener;
	}

	@Override
	public void start() {
		NetworkAddress address = this.settings.peerBindAddress();
		this.serverChannel = new ServerBootstrap().group(this.eventLoopGroup)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					PeerTransport.this.inboundChannels.add(channel);
					new InboundPeerHandler(PeerTransport.this.settings.secrets().peer(), PeerTransport.this::dispatch,
							PeerTransport.this.upstreamListener)
						.install(channel.pipeline());
				}

			})
			.bind(new InetSocketAddress(address.host(), address.port()))
			.syncUninterruptibly()
			.channel();
	}

	private void dispatch(String senderName, String senderAddress, Envelope envelope) {
		PeerMessageHandler handler = this.handlers.get(envelope.getBodyCase());
		if (handler != null) {
			handler.receive(senderName, senderAddress, envelope);
		}
	}

	/**
	 * Sends a message. A message to this instance itself is handled on the calling
	 * thread.
	 * @param address the peer address of the recipient
	 * @param envelope the message
	 */
	public void send(String address, Envelope envelope) {
		String selfAddress = this.settings.peerAddress().toString();
		if (address.equals(selfAddress)) {
			dispatch(this.settings.instance(), selfAddress, envelope);
			return;
		}
		this.sentMessages.increment();
		this.sentBytes.increment(envelope.getSerializedSize() + PeerPipeline.LENGTH_BYTES);
		this.connections.computeIfAbsent(address, this::open).send(envelope);
	}

	/**
	 * Closes the connection to an instance, so that the next message opens a new one.
	 * @param address the peer address of the instance
	 */
	public void closeConnection(String address) {
		OutboundPeerConnection connection = this.connections.get(address);
		if (connection != null) {
			connection.close();
		}
	}

	private OutboundPeerConnection open(String address) {
		NetworkAddress target = NetworkAddress.parse(address);
		Hello hello = Hello.newBuilder()
			.setInstance(this.settings.instance())
			.setAddress(this.settings.peerAddress().toString())
			.setToken(this.settings.secrets().peer())
			.build();
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoopGroup)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.remoteAddress(new InetSocketAddress(target.host(), target.port()));
		return new OutboundPeerConnection(address, bootstrap, hello, this.savedBytes,
				(connection) -> this.connections.remove(address, connection));
	}

	/**
	 * Closes all connections that peers opened, because they may carry outdated messages.
	 */
	public void closeInboundConnections() {
		this.inboundChannels.close();
	}

	@Override
	public void stop() {
		Channel channel = this.serverChannel;
		if (channel != null) {
			channel.close();
		}
		this.connections.values().forEach(OutboundPeerConnection::close);
		this.eventLoopGroup.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

}
