package org.radishthread.daemon.peer;

import java.net.ConnectException;
import java.util.List;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;

/**
 * Connects a peer that cannot reach an upstream to it. After the response to the peer,
 * the bytes of both connections are forwarded unchanged, each only as fast as the other
 * side reads them. When one of the connections ends, so does the other. Because the end
 * of a response may be the end of its connection, only a regular end is passed on as one:
 * a reset, and the end of this process or of that of the upstream, reset the other
 * connection.
 */
final class RelayedConnection {

	private static final EventLog eventLog = EventLog.of(RelayedConnection.class);

	// As for direct connections to upstreams.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	// As for direct connections whose end is the end of a response.
	private static final int REFUSAL_TIMEOUT_MILLIS = 100;

	// Linger time, in seconds.
	private static final int RESET_ON_CLOSE = 0;

	// Linger time; no limit for what is still to be sent.
	private static final int REGULAR_CLOSE = -1;

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
			.handler(new UpstreamHandler(peer))
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
			for (Channel channel : List.of(peer, upstream)) {
				// The operating system then resets the connection when this process ends.
				channel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
				// Distinguishes the regular end of a connection from its close here.
				channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
			}
			peer.pipeline().addLast(new ForwardingHandler(upstream));
			peer.read();
			upstream.read();
		});
	}

	/**
	 * Forwards the bytes that are read from one channel to the other.
	 */
	private static class ForwardingHandler extends ChannelInboundHandlerAdapter {

		private final Channel target;

		ForwardingHandler(Channel target) {
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
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event == ChannelInputShutdownEvent.INSTANCE) {
				onRegularEnd(context);
			}
		}

		protected void onRegularEnd(ChannelHandlerContext context) {
			closeRegularly(this.target);
			closeRegularly(context.channel());
		}

		private static void closeRegularly(Channel channel) {
			channel.config().setOption(ChannelOption.SO_LINGER, REGULAR_CLOSE);
			channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.target.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			resetBoth(context);
		}

		protected final void resetBoth(ChannelHandlerContext context) {
			this.target.close();
			context.close();
		}

	}

	/**
	 * Forwards the bytes of an upstream. The operating system closes the connections of a
	 * process that ends regularly, so the upstream must still accept connections when one
	 * has ended.
	 */
	private static final class UpstreamHandler extends ForwardingHandler {

		private UpstreamHandler(Channel peer) {
			super(peer);
		}

		@Override
		protected void onRegularEnd(ChannelHandlerContext context) {
			new Bootstrap().group(context.channel().eventLoop())
				.channel(NioSocketChannel.class)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, REFUSAL_TIMEOUT_MILLIS)
				.handler(new ChannelInboundHandlerAdapter())
				.connect(context.channel().remoteAddress())
				.addListener((ChannelFutureListener) (connected) -> {
					connected.channel().close();
					if (isRefused(connected.cause())) {
						resetBoth(context);
					}
					else {
						super.onRegularEnd(context);
					}
				});
		}

		private static boolean isRefused(@Nullable Throwable cause) {
			return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
		}

	}

}
