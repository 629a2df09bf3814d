package org.radishthread.daemon.peer;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;

import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.Hello;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link InboundPeerHandler}: arbitrary and corrupt frames never reach the
 * message handler; only complete messages on an authenticated connection do.
 */
class InboundPeerHandlerProperties {

	private static final String TOKEN = "the-right-token";

	private final List<Envelope> receivedMessages = new ArrayList<>();

	private EmbeddedChannel open() {
		EmbeddedChannel channel = new EmbeddedChannel();
		new InboundPeerHandler(TOKEN, (name, address, envelope) -> this.receivedMessages.add(envelope),
				UpstreamConnectionListener.NONE)
			.install(channel.pipeline());
		return channel;
	}

	private static ByteBuf frame(byte[] payload) {
		return Unpooled.buffer().writeInt(payload.length).writeBytes(payload);
	}

	private static ByteBuf hello(String token) {
		Hello hello = Hello.newBuilder().setInstance("i1").setAddress("127.0.0.1:1").setToken(token).build();
		return frame(Envelope.newBuilder().setHello(hello).build().toByteArray());
	}

	private static ByteBuf gossip() {
		return frame(Envelope.newBuilder().setGossip(Gossip.newBuilder().setSender("i1")).build().toByteArray());
	}

	@Property(tries = 500, seed = "41", shrinking = ShrinkingMode.OFF)
	void unauthenticatedMessagesAreNeverHandled(@ForAll @Size(max = 200) byte[] bytes) {
		EmbeddedChannel channel = open();
		channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		if (channel.isActive()) {
			channel.writeInbound(hello("the-wrong-token"));
		}
		if (channel.isActive()) {
			channel.writeInbound(gossip());
		}
		channel.finishAndReleaseAll();
		assertThat(this.receivedMessages).isEmpty();
	}

	@Property(tries = 500, seed = "42", shrinking = ShrinkingMode.OFF)
	void corruptFramesOfAuthenticatedPeersCloseTheConnectionOrAreIgnored(@ForAll @Size(max = 200) byte[] payload) {
		EmbeddedChannel channel = open();
		channel.writeInbound(hello(TOKEN), gossip());
		assertThat(this.receivedMessages).hasSize(1);
		channel.writeInbound(frame(payload));
		boolean stillOpen = channel.isActive();
		if (stillOpen) {
			int receivedCountBefore = this.receivedMessages.size();
			channel.writeInbound(gossip());
			assertThat(this.receivedMessages).hasSize(receivedCountBefore + 1);
		}
		channel.finishAndReleaseAll();
		this.receivedMessages.clear();
	}

}
