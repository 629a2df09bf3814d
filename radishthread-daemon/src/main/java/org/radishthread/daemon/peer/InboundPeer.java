package org.radishthread.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.settings.Secrets;
import org.radishthread.kernel.EventLog;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.Pong;

/**
 * Takes messages from one connection that another instance opened. A connection whose
 * first message does not carry the token is closed.
 */
final class InboundPeer extends SimpleChannelInboundHandler<Envelope> {

	private static final EventLog eventLog = EventLog.of(InboundPeer.class);

	private final String token;

	private final PeerHandler handler;

	private @Nullable Hello peer;

	InboundPeer(String token, PeerHandler handler) {
		this.token = token;
		this.handler = handler;
	}

	void install(ChannelPipeline pipeline) {
		PeerPipeline.install(pipeline, PeerPipeline.STRANGER_FRAME_BYTES);
		pipeline.addLast(this);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
		Hello known = this.peer;
		if (known == null) {
			greet(context, envelope);
		}
		else if (envelope.hasPing()) {
			context.writeAndFlush(Envelope.newBuilder().setPong(Pong.getDefaultInstance()).build());
		}
		else {
			this.handler.receive(known.getInstance(), known.getAddress(), envelope);
		}
	}

	private void greet(ChannelHandlerContext context, Envelope envelope) {
		if (!envelope.hasHello() || !Secrets.matches(this.token, envelope.getHello().getToken())) {
			eventLog.warning("peer-refused").with("remote", context.channel().remoteAddress()).write();
			context.close();
			return;
		}
		this.peer = envelope.getHello();
		context.pipeline()
			.replace(PeerPipeline.FRAME_DECODER, PeerPipeline.FRAME_DECODER,
					PeerPipeline.frameDecoder(PeerPipeline.PEER_FRAME_BYTES));
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
