package org.radishthread.daemon.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamDecoder}.
 */
class UpstreamDecoderTests {

	private static final UpstreamRecord VALID = UpstreamRecord.newBuilder()
		.setName("i-1")
		.setService("rotaboard")
		.setAddress("10.128.0.9:8080")
		.setZone("bastrop")
		.setSlots(3)
		.setIncarnation(7)
		.setSequence(4)
		.setState(UpstreamState.READY)
		.build();

	private final UpstreamDecoder decoder = new UpstreamDecoder();

	// Another writer left one odd entry. The instances that read the list ended again and
	// again, or stopped following it.
	@Test
	void recordsWithInvalidValuesAreLeftOutAndTheOthersHold() {
		UpstreamRecord other = VALID.toBuilder().setName("i-2").setAddress("10.128.0.10:8080").build();
		for (UpstreamRecord odd : List.of(VALID.toBuilder().setSlots(0).build(), VALID.toBuilder().setSlots(-5).build(),
				VALID.toBuilder().setAddress("10.128.0.9:70000").build(),
				VALID.toBuilder().setAddress("10.128.0.9:0").build(),
				VALID.toBuilder().setAddress("999.1.1.1:80").build(), VALID.toBuilder().clearAddress().build(),
				VALID.toBuilder().setService("no service").build(), VALID.toBuilder().clearName().build(),
				VALID.toBuilder().setIncarnation(Long.MAX_VALUE).build(),
				VALID.toBuilder().setColdMillis(-1).build())) {
			assertThat(this.decoder.selectValid(List.of(odd, other))).as(odd.toString()).containsExactly(other);
		}
		assertThat(this.decoder.selectValid(List.of(VALID, other))).containsExactly(VALID, other);
	}

}
