package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestDigest}.
 */
class RequestDigestTests {

	private static final byte[] BODY = "beam 7".getBytes(StandardCharsets.UTF_8);

	private static final String DIGEST = RequestDigest.of("POST", "rota.example", "/swap/7?day=1", "10.0.0.9", BODY);

	@Test
	void repetitionHasTheSameDigest() {
		assertThat(RequestDigest.of("POST", "rota.example", "/swap/7?day=1", "10.0.0.9", BODY.clone()))
			.isEqualTo(DIGEST);
	}

	@Test
	void anyOtherPartGivesAnotherDigest() {
		assertThat(DIGEST).isNotIn(RequestDigest.of("PUT", "rota.example", "/swap/7?day=1", "10.0.0.9", BODY),
				RequestDigest.of("POST", "view.example", "/swap/7?day=1", "10.0.0.9", BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=2", "10.0.0.9", BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=1", "10.0.0.8", BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=1", "10.0.0.9", null));
	}

	@Test
	void streamedBodiesDifferByLength() {
		String digest = RequestDigest.ofStreamed("POST", "rota.example", "/tally", "10.0.0.9", 2_000_000);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", "10.0.0.9", 2_000_000)).isEqualTo(digest);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", "10.0.0.9", 2_000_001))
			.isNotEqualTo(digest);
		assertThat(RequestDigest.of("POST", "rota.example", "/tally", "10.0.0.9", null)).isNotEqualTo(digest);
	}

}
