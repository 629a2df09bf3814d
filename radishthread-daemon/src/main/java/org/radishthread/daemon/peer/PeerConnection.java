package org.radishthread.daemon.peer;

import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.ScheduledFuture;

import org.radishthread.kernel.EventLog;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.Ping;

/**
 * One connection to another instance. A connection that stays silent after a ping is
 * closed, because something between the two ends may have lost track of it.
 */
final class PeerConnection {

	private static final EventLog eventLog = EventLog.of(PeerConnection.class);

	private static final long PING_NANOS = 1_000_000_000L;

	private static final long SILENCE_NANOS = 2_500_000_000L;

	private static final long CHECK_MILLIS = 1_000;

	private static final int UNSENT_BYTES_LIMIT = 16 * 1024 * 1024;

	private final String address;

	private final Runnable onClose;

	private final ChannelFuture connecting;

	private volatile long lastUseNanos = System.nanoTime();

	private volatile long pingedNanos = this.lastUseNanos;

	private volatile long heardNanos = System.nanoTime();

	PeerConnection(String address, Bootstrap bootstrap, Hello hello, Runnable onClose) {
		this.address = address;
		this.onClose = onClose;
		this.connecting = bootstrap.handler(new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				PeerPipeline.install(channel.pipeline(), PeerPipeline.STRANGER_FRAME_BYTES);
				channel.pipeline().addLast(new Answers());
			}

		}).connect();
		this.connecting.addListener((future) -> connected(hello));
	}

	private void connected(Hello hello) {
		Channel channel = this.connecting.channel();
		channel.closeFuture().addListener((future) -> this.onClose.run());
		if (!this.connecting.isSuccess()) {
			eventLog.debug("peer-unreachable").with("address", this.address).write();
			channel.close();
			return;
		}
		this.heardNanos = System.nanoTime();
		channel.writeAndFlush(Envelope.newBuilder().setHello(hello).build());
		ScheduledFuture<?> checks = channel.eventLoop()
			.scheduleWithFixedDelay(() -> check(channel), CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
		channel.closeFuture().addListener((future) -> checks.cancel(false));
	}

	private void check(Channel channel) {
		long now = System.nanoTime();
		if (!channel.isActive()) {
			return;
		}
		if (this.pingedNanos > this.heardNanos && now - this.pingedNanos > SILENCE_NANOS) {
			eventLog.warning("peer-connection-silent").with("address", this.address).write();
			channel.close();
			return;
		}
		boolean used = this.lastUseNanos > this.pingedNanos;
		if (used && this.pingedNanos <= this.heardNanos && now - this.pingedNanos > PING_NANOS) {
			this.pingedNanos = now;
			channel.writeAndFlush(Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build());
		}
	}

	void send(Envelope envelope) {
		this.lastUseNanos = System.nanoTime();
		if (this.connecting.isDone()) {
			write(envelope);
		}
		else {
			this.connecting.addListener((future) -> write(envelope));
		}
	}

	private void write(Envelope envelope) {
		Channel channel = this.connecting.channel();
		boolean congested = channel.unsafe().outboundBuffer() != null
				&& channel.unsafe().outboundBuffer().totalPendingWriteBytes() > UNSENT_BYTES_LIMIT;
		if (channel.isActive() && !congested) {
			channel.writeAndFlush(envelope);
		}
	}

	void close() {
		this.connecting.channel().close();
	}

	private final class Answers extends SimpleChannelInboundHandler<Envelope> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
			PeerConnection.this.heardNanos = System.nanoTime();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
