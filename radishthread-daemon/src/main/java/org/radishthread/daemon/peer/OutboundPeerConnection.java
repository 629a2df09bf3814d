package org.radishthread.daemon.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.ScheduledFuture;

import org.radishthread.kernel.EventLog;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.Ping;

/**
 * A connection that this instance opens to another one. Messages are sent in one
 * direction only; the peer responds to pings. A connection without a response to a ping
 * is closed, because a device on the path may have dropped its state silently.
 */
final class OutboundPeerConnection {

	private static final EventLog eventLog = EventLog.of(OutboundPeerConnection.class);

	// With the interval between checks, a silent connection is closed within two seconds
	// of the next message.
	private static final long PING_INTERVAL_NANOS = 500_000_000L;

	private static final long PING_TIMEOUT_NANOS = 1_000_000_000L;

	private static final long CHECK_INTERVAL_MILLIS = 250;

	// An unused connection may go silent without notice, so it is not kept for later.
	private static final long IDLE_TIMEOUT_NANOS = 5_000_000_000L;

	// Messages are dropped while more bytes than this wait to be sent to the peer.
	static final int MAXIMUM_UNSENT_BYTES = 16 * 1024 * 1024;

	private final String address;

	private final Consumer<OutboundPeerConnection> onClose;

	private final ChannelFuture connectFuture;

	private volatile long lastSentNanos = System.nanoTime();

	private volatile long lastPingNanos = this.lastSentNanos;

	private volatile long lastReceivedNanos = System.nanoTime();

	OutboundPeerConnection(String address, Bootstrap bootstrap, Hello hello, Counter savedBytes,
			Consumer<OutboundPeerConnection> onClose) {
		this.address = address;
		this.onClose = onClose;
		this.connectFuture = bootstrap.handler(new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				PeerPipeline.install(channel.pipeline(), PeerPipeline.MAXIMUM_UNAUTHENTICATED_FRAME_BYTES);
				channel.pipeline().addLast(new EnvelopeCompressor(savedBytes));
				channel.pipeline().addLast(new ResponseHandler());
			}

		}).connect();
		this.connectFuture.addListener((future) -> onConnectCompleted(hello));
	}

	private void onConnectCompleted(Hello hello) {
		Channel channel = this.connectFuture.channel();
		channel.closeFuture().addListener((future) -> this.onClose.accept(this));
		if (!this.connectFuture.isSuccess()) {
			eventLog.debug("peer-unreachable").with("address", this.address).write();
			channel.close();
			return;
		}
		this.lastReceivedNanos = System.nanoTime();
		channel.writeAndFlush(Envelope.newBuilder().setHello(hello).build());
		// The response tells what the peer accepts.
		sendPing(channel, System.nanoTime());
		ScheduledFuture<?> checkTask = channel.eventLoop()
			.scheduleWithFixedDelay(() -> checkLiveness(channel), CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		channel.closeFuture().addListener((future) -> checkTask.cancel(false));
	}

	private void checkLiveness(Channel channel) {
		long nowNanos = System.nanoTime();
		if (!channel.isActive()) {
			return;
		}
		if (this.lastPingNanos > this.lastReceivedNanos && nowNanos - this.lastPingNanos > PING_TIMEOUT_NANOS) {
			eventLog.warning("peer-connection-silent").with("address", this.address).write();
			channel.close();
			return;
		}
		if (nowNanos - this.lastSentNanos > IDLE_TIMEOUT_NANOS) {
			channel.close();
			return;
		}
		boolean sentSincePing = this.lastSentNanos > this.lastPingNanos;
		if (sentSincePing && this.lastPingNanos <= this.lastReceivedNanos
				&& nowNanos - this.lastPingNanos > PING_INTERVAL_NANOS) {
			sendPing(channel, nowNanos);
		}
	}

	private void sendPing(Channel channel, long nowNanos) {
		this.lastPingNanos = nowNanos;
		channel.writeAndFlush(Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build());
	}

	void send(Envelope envelope) {
		this.lastSentNanos = System.nanoTime();
		if (this.connectFuture.isDone()) {
			write(envelope);
		}
		else {
			this.connectFuture.addListener((future) -> write(envelope));
		}
	}

	private void write(Envelope envelope) {
		Channel channel = this.connectFuture.channel();
		// Null once the channel is closed, which another thread does.
		ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
		boolean congested = unsent != null && unsent.totalPendingWriteBytes() > MAXIMUM_UNSENT_BYTES;
		if (channel.isActive() && !congested) {
			channel.writeAndFlush(envelope);
		}
	}

	void close() {
		this.onClose.accept(this);
		this.connectFuture.channel().close();
	}

	private final class ResponseHandler extends SimpleChannelInboundHandler<Envelope> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
			OutboundPeerConnection.this.lastReceivedNanos = System.nanoTime();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
