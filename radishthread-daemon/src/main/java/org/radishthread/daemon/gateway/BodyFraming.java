package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Locale;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;

/**
 * How the end of the body of an HTTP/1 message is marked (RFC 9112, section 6.3).
 */
enum BodyFraming {

	/**
	 * By the number of its bytes, which the head states.
	 */
	LENGTH {

		@Override
		void copyTo(HttpFields.Mutable callerHeaders, HttpFields upstreamHeaders) {
			callerHeaders.put(HttpHeader.CONTENT_LENGTH, upstreamHeaders.getLongField(HttpHeader.CONTENT_LENGTH));
		}

	},

	/**
	 * By a last chunk.
	 */
	CHUNKS {

		// Without this header Jetty uses chunks only if the connection stays open.
		@Override
		void copyTo(HttpFields.Mutable callerHeaders, HttpFields upstreamHeaders) {
			callerHeaders.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
		}

	},

	/**
	 * By the end of the connection. Only a reset shows that the body is truncated.
	 */
	CLOSE {

		@Override
		void copyTo(HttpFields.Mutable callerHeaders, HttpFields upstreamHeaders) {
			callerHeaders.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
		}

	};

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

	/**
	 * Chooses how to frame a response that is streamed to a caller, so that the caller
	 * can tell its end whether or not the connection stays open.
	 * @param upstreamHeaders the headers of the response of the upstream
	 * @param callerVersion the version of HTTP that the caller speaks
	 * @return the framing
	 */
	static BodyFraming forCaller(HttpFields upstreamHeaders, HttpVersion callerVersion) {
		if (of(upstreamHeaders) == LENGTH) {
			return LENGTH;
		}
		return (callerVersion.getVersion() >= HttpVersion.HTTP_1_1.getVersion()) ? CHUNKS : CLOSE;
	}

	/**
	 * Adds the header that announces this framing to a caller.
	 * @param callerHeaders the headers of the response to the caller
	 * @param upstreamHeaders the headers of the response of the upstream
	 */
	abstract void copyTo(HttpFields.Mutable callerHeaders, HttpFields upstreamHeaders);

	String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
