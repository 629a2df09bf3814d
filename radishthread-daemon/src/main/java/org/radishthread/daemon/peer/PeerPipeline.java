package org.radishthread.daemon.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.radishthread.protocol.Envelope;

/**
 * Installs the handlers that frame and encode messages on a connection between instances.
 */
final class PeerPipeline {

	static final int LENGTH_BYTES = 4;

	// Fits a hello or a pong, the only messages of a peer that is not authenticated.
	static final int MAXIMUM_UNAUTHENTICATED_FRAME_BYTES = 4 * 1024;

	static final int MAXIMUM_AUTHENTICATED_FRAME_BYTES = 64 * 1024 * 1024;

	static final String FRAME_DECODER = "frame-decoder";

	private PeerPipeline() {
	}

	static void install(ChannelPipeline pipeline, int maximumFrameBytes) {
		pipeline.addLast(FRAME_DECODER, frameDecoder(maximumFrameBytes));
		pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufEncoder());
	}

	static LengthFieldBasedFrameDecoder frameDecoder(int maximumFrameBytes) {
		return new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

}
