package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestDigest}.
 */
class RequestDigestTests {

	private static final byte[] BODY = "beam 7".getBytes(StandardCharsets.UTF_8);

	private static final HttpFields HEADERS = headers("Bearer picker-7", "10.0.0.9");

	private static final String DIGEST = RequestDigest.of("POST", "rota.example", "/swap/7?day=1", HEADERS, BODY);

	private static HttpFields headers(String authorization, String forwardedFor) {
		return HttpFields.build()
			.put("Authorization", authorization)
			.put("X-Forwarded-For", forwardedFor)
			.asImmutable();
	}

	// Incident inc1 of brazos-rota: the repetitions came from other addresses.
	@Test
	void repetitionFromAnotherAddressHasTheSameDigest() {
		assertThat(RequestDigest.of("POST", "rota.example", "/swap/7?day=1", headers("Bearer picker-7", "10.0.0.8"),
				BODY.clone()))
			.isEqualTo(DIGEST);
	}

	@Test
	void anyOtherPartGivesAnotherDigest() {
		assertThat(DIGEST).isNotIn(RequestDigest.of("PUT", "rota.example", "/swap/7?day=1", HEADERS, BODY),
				RequestDigest.of("POST", "view.example", "/swap/7?day=1", HEADERS, BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=2", HEADERS, BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=1", headers("Bearer picker-8", "10.0.0.9"), BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=1", HEADERS, null));
	}

	@Test
	void streamedBodiesDifferByLength() {
		String digest = RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, 2_000_000);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, 2_000_000)).isEqualTo(digest);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, 2_000_001)).isNotEqualTo(digest);
		assertThat(RequestDigest.of("POST", "rota.example", "/tally", HEADERS, null)).isNotEqualTo(digest);
	}

}
