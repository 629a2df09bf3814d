package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Sha256;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestDigest}.
 */
class RequestDigestTests {

	private static final byte[] BODY = "beam 7".getBytes(StandardCharsets.UTF_8);

	private static final HttpFields HEADERS = headers("Bearer picker-7", "10.0.0.9");

	private static final String DIGEST = RequestDigest.of("POST", "rota.example", "/swap/7?day=1", HEADERS, null, BODY);

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
				null, BODY.clone()))
			.isEqualTo(DIGEST);
	}

	@Test
	void anyOtherPartGivesAnotherDigest() {
		assertThat(DIGEST).isNotIn(RequestDigest.of("PUT", "rota.example", "/swap/7?day=1", HEADERS, null, BODY),
				RequestDigest.of("POST", "view.example", "/swap/7?day=1", HEADERS, null, BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=2", HEADERS, null, BODY), RequestDigest.of("POST",
						"rota.example", "/swap/7?day=1", headers("Bearer picker-8", "10.0.0.9"), null, BODY),
				RequestDigest.of("POST", "rota.example", "/swap/7?day=1", HEADERS, null, null));
	}

	@Test
	void requestsOfDifferentWorkspacesDiffer() {
		assertThat(List.of(DIGEST, digestOf("piste-maps"), digestOf("ski-school"))).doesNotHaveDuplicates();
		assertThat(digestOf("piste-maps")).isEqualTo(digestOf("piste-maps"));
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, "piste-maps", 2_000_000))
			.isNotEqualTo(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, null, 2_000_000));
	}

	// The value that earlier versions compute, which run beside this one in an upgrade.
	@Test
	void requestWithoutWorkspaceHasTheDigestOfEarlierVersions() {
		String head = "body\nPOST\nrota.example\n/swap/7?day=1\n[Bearer picker-7]\n[]\n";
		assertThat(DIGEST).isEqualTo(HexFormat.of().formatHex(Sha256.of(head, BODY), 0, 16));
	}

	private static String digestOf(String workspaceName) {
		return RequestDigest.of("POST", "rota.example", "/swap/7?day=1", HEADERS, workspaceName, BODY);
	}

	@Test
	void streamedBodiesDifferByLength() {
		String digest = RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, null, 2_000_000);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, null, 2_000_000))
			.isEqualTo(digest);
		assertThat(RequestDigest.ofStreamed("POST", "rota.example", "/tally", HEADERS, null, 2_000_001))
			.isNotEqualTo(digest);
		assertThat(RequestDigest.of("POST", "rota.example", "/tally", HEADERS, null, null)).isNotEqualTo(digest);
	}

}
