package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An answer of the system's own, after RFC 9457.
 *
 * @param status the HTTP status
 * @param title what happened
 * @param outcome whether the request ran
 * @param retryAfterMillis when asking again may help, in milliseconds, or zero if it does
 * not
 */
record Problem(int status, String title, RequestOutcome outcome, long retryAfterMillis) {

	private static final ObjectMapper mapper = new ObjectMapper();

	static Problem notRun(int status, String title, long retryAfterMillis) {
		return new Problem(status, title, RequestOutcome.NOT_RUN, retryAfterMillis);
	}

	static Problem unknown(int status, String title, long retryAfterMillis) {
		return new Problem(status, title, RequestOutcome.UNKNOWN, retryAfterMillis);
	}

	void write(HttpDialect dialect, Response response, Callback callback) {
		response.setStatus(this.status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
		response.getHeaders().put(RadishthreadHeader.OUTCOME, this.outcome.word());
		if (this.retryAfterMillis > 0) {
			dialect.setRetryAfter(response.getHeaders(), this.retryAfterMillis);
		}
		response.write(true, ByteBuffer.wrap(body()), callback);
	}

	private byte[] body() {
		try {
			return mapper.writeValueAsBytes(mapper.createObjectNode()
				.put("title", this.title)
				.put("status", this.status)
				.put("outcome", this.outcome.word())
				.put("retryAfterMillis", this.retryAfterMillis));
		}
		catch (JsonProcessingException ex) {
			throw new GatewayException("Problem '" + this.title + "' can not be written as JSON.", ex);
		}
	}

}
