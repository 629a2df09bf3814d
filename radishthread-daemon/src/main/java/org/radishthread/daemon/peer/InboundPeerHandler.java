package org.radishthread.daemon.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.settings.Secrets;
import org.radishthread.kernel.Compression;
import org.radishthread.kernel.EventLog;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.Pong;

/**
 * Receives messages on one connection that another instance opened. The first message
 * must be a {@link Hello} with the cluster's token; otherwise the connection is closed.
 */
final class InboundPeerHandler extends SimpleChannelInboundHandler<Envelope> {

	private static final EventLog eventLog = EventLog.of(InboundPeerHandler.class);

	private final String token;

	private final PeerMessageHandler messageHandler;

	private final UpstreamConnectionListener upstreamListener;

	private @Nullable Hello peerHello;

	InboundPeerHandler(String token, PeerMessageHandler messageHandler, UpstreamConnectionListener upstreamListener) {
		this.token = token;
		this.messageHandler = messageHandler;
		this.upstreamListener = upstreamListener;
	}

	void install(ChannelPipeline pipeline) {
		PeerPipeline.install(pipeline, PeerPipeline.MAXIMUM_UNAUTHENTICATED_FRAME_BYTES);
		pipeline.addLast(this);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Envelope envelope)
			throws InvalidProtocolBufferException {
		Hello sender = this.peerHello;
		if (sender == null) {
			authenticate(context, envelope);
		}
		else if (envelope.hasPing()) {
			context.writeAndFlush(Envelope.newBuilder().setPong(Pong.newBuilder().setAcceptsCompressed(true)).build());
		}
		else if (envelope.hasRelayRequest()) {
			RelayedConnection.open(context.channel(), envelope.getRelayRequest().getAddress(), this.upstreamListener);
		}
		else {
			this.messageHandler.receive(sender.getInstance(), sender.getAddress(), decompress(envelope));
		}
	}

	private static Envelope decompress(Envelope envelope) throws InvalidProtocolBufferException {
		if (!envelope.hasCompressed()) {
			return envelope;
		}
		return Envelope.parseFrom(Compression.decompress(envelope.getCompressed().toByteArray(),
				PeerPipeline.MAXIMUM_AUTHENTICATED_FRAME_BYTES));
	}

	private void authenticate(ChannelHandlerContext context, Envelope envelope) {
		if (!envelope.hasHello() || !Secrets.matches(this.token, envelope.getHello().getToken())) {
			eventLog.warning("peer-refused").with("remote", context.channel().remoteAddress()).write();
			context.close();
			return;
		}
		this.peerHello = envelope.getHello();
		context.pipeline()
			.replace(PeerPipeline.FRAME_DECODER, PeerPipeline.FRAME_DECODER,
					PeerPipeline.frameDecoder(PeerPipeline.MAXIMUM_AUTHENTICATED_FRAME_BYTES));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		eventLog.warning("peer-connection-failed")
			.with("remote", context.channel().remoteAddress())
			.with("cause", cause)
			.write();
		context.close();
	}

}
