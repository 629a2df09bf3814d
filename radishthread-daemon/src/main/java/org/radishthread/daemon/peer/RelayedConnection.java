package org.radishthread.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;

/**
 * Connects a peer that cannot reach an upstream to it. After the response to the peer,
 * the bytes of both connections are forwarded unchanged, each only as fast as the other
 * side reads them. When one of the connections ends, so does the other; a reset is passed
 * on as a reset, because the end of a response may be the end of its connection.
 */
final class RelayedConnection {

	private static final EventLog eventLog = EventLog.of(RelayedConnection.class);

	// As for direct connections to upstreams.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private RelayedConnection() {
	}

	/**
	 * Connects to an upstream for a peer.
	 * @param peer the connection of the peer, which has been authenticated
	 * @param upstreamAddress the address of the upstream
	 * @param listener the receiver of the result
	 */
	static void open(Channel peer, String upstreamAddress, UpstreamConnectionListener listener) {
		NetworkAddress address = NetworkAddress.parse(upstreamAddress);
		if (!listener.mayRelay(upstreamAddress)) {
			refuse(peer);
			return;
		}
		peer.config().setAutoRead(false);
		new Bootstrap().group(peer.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ForwardingHandler(peer))
			.connect(address.host(), address.port())
			.addListener((ChannelFutureListener) (connected) -> {
				listener.connectionCompleted(upstreamAddress, connected.isSuccess());
				boolean success = connected.isSuccess() && peer.isActive();
				eventLog.debug("relay-opened").with("address", upstreamAddress).with("connected", success).write();
				if (success) {
					startForwarding(peer, connected.channel());
				}
				else {
					connected.channel().close();
					refuse(peer);
				}
			});
	}

	private static void refuse(Channel peer) {
		peer.writeAndFlush(RelayHandshake.response(false)).addListener(ChannelFutureListener.CLOSE);
	}

	private static void startForwarding(Channel peer, Channel upstream) {
		peer.writeAndFlush(RelayHandshake.response(true)).addListener((ChannelFutureListener) (written) -> {
			if (!written.isSuccess()) {
				upstream.close();
				return;
			}
			for (ChannelHandler handler : peer.pipeline().toMap().values()) {
				peer.pipeline().remove(handler);
			}
			peer.pipeline().addLast(new ForwardingHandler(upstream));
			peer.read();
			upstream.read();
		});
	}

	/**
	 * Forwards the bytes that are read from one channel to the other.
	 */
	private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {

		private final Channel target;

		private ForwardingHandler(Channel target) {
			this.target = target;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			this.target.writeAndFlush(bytes).addListener((ChannelFutureListener) (written) -> {
				if (written.isSuccess()) {
					context.channel().read();
				}
				else {
					context.close();
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (this.target.isActive()) {
				this.target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A linger time of zero makes close reset the connection.
			this.target.config().setOption(ChannelOption.SO_LINGER, 0);
			this.target.close();
			context.close();
		}

	}

}
