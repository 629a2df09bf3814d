package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BodyFraming}.
 */
class BodyFramingTests {

	private static HttpFields headers(String coding, String length) {
		HttpFields.Mutable headers = HttpFields.build();
		if (coding != null) {
			headers.put(HttpHeader.TRANSFER_ENCODING, coding);
		}
		if (length != null) {
			headers.put(HttpHeader.CONTENT_LENGTH, length);
		}
		return headers;
	}

	@ParameterizedTest
	@CsvSource({ ", 7, LENGTH", "chunked, , CHUNKS", "'gzip, chunked', , CHUNKS", "'identity, Chunked', , CHUNKS",
			"chunked, 7, CHUNKS", "gzip, , CLOSE", "'chunked, gzip', , CLOSE", ", , CLOSE" })
	void framingFollowsTheHeaders(String coding, String length, BodyFraming framing) {
		assertThat(BodyFraming.of(headers(coding, length))).isEqualTo(framing);
	}

	@Nested
	class StreamedResponses {

		// Guards against a truncated response that looks complete to a caller whose
		// connection closes after it: a response ends with its connection only if its
		// length is unknown and the caller knows no chunks.
		@ParameterizedTest
		@CsvSource({ ", 7, HTTP_1_1, LENGTH", ", 7, HTTP_1_0, LENGTH", "chunked, , HTTP_1_1, CHUNKS",
				", , HTTP_1_1, CHUNKS", "chunked, , HTTP_1_0, CLOSE", ", , HTTP_1_0, CLOSE" })
		void endIsMarkedWhereTheCallerKnowsHow(String coding, String length, HttpVersion version, BodyFraming framing) {
			assertThat(BodyFraming.forCaller(headers(coding, length), version)).isEqualTo(framing);
		}

		@Test
		void headAnnouncesTheFraming() {
			for (BodyFraming framing : BodyFraming.values()) {
				HttpFields.Mutable callerHeaders = HttpFields.build();
				framing.copyTo(callerHeaders, headers(null, "7"));
				assertThat(BodyFraming.of(callerHeaders)).isEqualTo(framing);
			}
		}

	}

}
