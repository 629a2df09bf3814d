package org.radishthread.daemon.peer;

import java.util.ArrayDeque;
import java.util.Queue;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Counter;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

import org.radishthread.kernel.Compression;
import org.radishthread.protocol.Envelope;

/**
 * Compresses large messages on a connection that this instance opened, if the peer
 * accepts it. The peer tells so in its response to the first ping; until then, a large
 * message and all that follow it wait, so that the order is kept. To be used on the
 * thread of the channel only.
 */
final class EnvelopeCompressor extends ChannelDuplexHandler {

	// Below this size, the headers of packets outweigh what compression saves.
	static final int MINIMUM_BYTES = 4 * 1024;

	// The same bound as for messages that wait for a slow link.
	private static final long MAXIMUM_HELD_BYTES = OutboundPeerConnection.MAXIMUM_UNSENT_BYTES;

	private final Counter savedBytes;

	private final Queue<HeldMessage> heldMessages = new ArrayDeque<>();

	private long heldBytes;

	private Acceptance acceptance = Acceptance.UNKNOWN;

	EnvelopeCompressor(Counter savedBytes) {
		this.savedBytes = savedBytes;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (!(message instanceof Envelope envelope) || isControlMessage(envelope)) {
			context.write(message, promise);
			return;
		}
		int size = envelope.getSerializedSize();
		boolean waits = this.acceptance == Acceptance.UNKNOWN
				&& (size >= MINIMUM_BYTES || !this.heldMessages.isEmpty());
		if (!waits) {
			context.write(encode(envelope, size), promise);
		}
		else if (this.heldBytes + size > MAXIMUM_HELD_BYTES) {
			promise.setFailure(new IllegalStateException(
					"More than " + MAXIMUM_HELD_BYTES + " bytes wait for the first response of the peer."));
		}
		else {
			this.heldBytes += size;
			this.heldMessages.add(new HeldMessage(envelope, promise));
		}
	}

	// The messages that open and check a connection must not wait for its first response.
	private static boolean isControlMessage(Envelope envelope) {
		return envelope.hasHello() || envelope.hasPing();
	}

	private Envelope encode(Envelope envelope, int size) {
		// Rule files are compressed once for all recipients.
		if (this.acceptance != Acceptance.ACCEPTED || size < MINIMUM_BYTES || envelope.hasRuleFile()) {
			return envelope;
		}
		byte[] compressed = Compression.compressFast(envelope.toByteArray());
		if (compressed.length >= size) {
			return envelope;
		}
		this.savedBytes.increment(size - compressed.length);
		return Envelope.newBuilder().setCompressed(ByteString.copyFrom(compressed)).build();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.acceptance == Acceptance.UNKNOWN && message instanceof Envelope envelope && envelope.hasPong()) {
			this.acceptance = envelope.getPong().getAcceptsCompressed() ? Acceptance.ACCEPTED : Acceptance.NOT_ACCEPTED;
			sendHeldMessages(context);
		}
		context.fireChannelRead(message);
	}

	private void sendHeldMessages(ChannelHandlerContext context) {
		this.heldBytes = 0;
		for (HeldMessage held = this.heldMessages.poll(); held != null; held = this.heldMessages.poll()) {
			context.write(encode(held.envelope(), held.envelope().getSerializedSize()), held.promise());
		}
		context.flush();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		for (HeldMessage held = this.heldMessages.poll(); held != null; held = this.heldMessages.poll()) {
			held.promise()
				.setFailure(new IllegalStateException("The connection was closed before the first response."));
		}
		context.fireChannelInactive();
	}

	private enum Acceptance {

		UNKNOWN, ACCEPTED, NOT_ACCEPTED

	}

	private record HeldMessage(Envelope envelope, ChannelPromise promise) {
	}

}
