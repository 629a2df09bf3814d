package org.radishthread.daemon.peer;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Compression;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.Ping;
import org.radishthread.protocol.Pong;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.SubmitRules;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EnvelopeCompressor}.
 */
class EnvelopeCompressorTests {

	private static final String CONTENT = "route tilesrv GET /tiles/**   # asked by operator\n".repeat(2_000);

	private static final Envelope LARGE = Envelope.newBuilder()
		.setControlRequest(ControlRequest.newBuilder()
			.setCommand(Command.newBuilder().setSubmitRules(SubmitRules.newBuilder().setContent(CONTENT))))
		.build();

	private static final Envelope SMALL = Envelope.newBuilder()
		.setControlRequest(ControlRequest.newBuilder().setId(7))
		.build();

	private final Counter savedBytes = new SimpleMeterRegistry().counter("saved");

	private final EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCompressor(this.savedBytes));

	private void receivePong(boolean acceptsCompressed) {
		this.channel.writeInbound(
				Envelope.newBuilder().setPong(Pong.newBuilder().setAcceptsCompressed(acceptsCompressed)).build());
	}

	private Envelope nextSent() {
		return this.channel.readOutbound();
	}

	@Test
	void largeMessageIsCompressedForAPeerThatAcceptsIt() throws Exception {
		receivePong(true);
		this.channel.writeOutbound(LARGE);
		Envelope sent = nextSent();
		assertThat(sent.getSerializedSize()).isLessThan(LARGE.getSerializedSize() / 20);
		byte[] restored = Compression.decompress(sent.getCompressed().toByteArray(), LARGE.getSerializedSize());
		assertThat(Envelope.parseFrom(restored)).isEqualTo(LARGE);
		assertThat(this.savedBytes.count()).isPositive();
	}

	@Test
	void nothingIsCompressedForAPeerOfAFormerVersion() {
		receivePong(false);
		this.channel.writeOutbound(LARGE);
		assertThat(nextSent()).isEqualTo(LARGE);
	}

	@Test
	void smallMessageDoesNotWaitForTheFirstResponse() {
		this.channel.writeOutbound(SMALL);
		assertThat(nextSent()).isEqualTo(SMALL);
	}

	@Test
	void messagesBehindALargeOneWaitForTheFirstResponseInOrder() {
		this.channel.writeOutbound(Envelope.newBuilder().setHello(Hello.getDefaultInstance()).build(),
				Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build());
		assertThat(nextSent().hasHello()).isTrue();
		assertThat(nextSent().hasPing()).isTrue();
		this.channel.writeOneOutbound(LARGE);
		this.channel.writeOneOutbound(SMALL);
		this.channel.flushOutbound();
		assertThat(nextSent()).isNull();
		receivePong(true);
		assertThat(nextSent().hasCompressed()).isTrue();
		assertThat(nextSent()).isEqualTo(SMALL);
	}

	@Test
	void ruleFileIsNotCompressedAgain() {
		receivePong(true);
		Envelope file = Envelope.newBuilder()
			.setRuleFile(RuleFile.newBuilder().setCompressedContent(ByteString.copyFrom(new byte[10_000])))
			.build();
		this.channel.writeOutbound(file);
		assertThat(nextSent()).isEqualTo(file);
	}

	@Test
	void messagesThatWaitFailWhenTheConnectionCloses() {
		ChannelFuture promise = this.channel.writeOneOutbound(LARGE);
		this.channel.close();
		assertThat(promise.isSuccess()).isFalse();
		assertThat(promise.isDone()).isTrue();
	}

}
