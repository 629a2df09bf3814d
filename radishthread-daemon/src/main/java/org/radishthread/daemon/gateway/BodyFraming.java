package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Locale;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;

/**
 * How the end of the body of an HTTP/1 message is marked (RFC 9112, section 6.3).
 */
enum BodyFraming {

	/**
	 * By the number of its bytes, which the head states.
	 */
	LENGTH,

	/**
	 * By a last chunk.
	 */
	CHUNKS,

	/**
	 * By the end of the connection. Only a reset shows that the body is truncated.
	 */
	CLOSE;

	/**
	 * Determines the framing of a response that has a body.
	 * @param headers the headers of the response
	 * @return the framing
	 */
	static BodyFraming of(HttpFields headers) {
		List<String> codings = headers.getCSV(HttpHeader.TRANSFER_ENCODING, false);
		if (!codings.isEmpty()) {
			return HttpHeaderValue.CHUNKED.is(codings.get(codings.size() - 1)) ? CHUNKS : CLOSE;
		}
		return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CLOSE;
	}

	String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
