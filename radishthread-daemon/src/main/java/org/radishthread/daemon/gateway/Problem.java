package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Problem response (RFC 9457) that this instance sends to a caller instead of a response
 * of an upstream.
 *
 * @param status the HTTP status
 * @param title the description of the problem
 * @param outcome whether the request ran
 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds, or
 * zero if no retry will
 */
record Problem(int status, String title, RequestOutcome outcome, long retryAfterMillis) {

	private static final ObjectMapper mapper = new ObjectMapper();

	static Problem notRun(int status, String title, long retryAfterMillis) {
		return new Problem(status, title, RequestOutcome.NOT_RUN, retryAfterMillis);
	}

	static Problem unknown(int status, String title, long retryAfterMillis) {
		return new Problem(status, title, RequestOutcome.UNKNOWN, retryAfterMillis);
	}

	/**
	 * Returns the problem for a request of which it is not certain that it did not run.
	 * @return the same problem with status 504, if this is its status, or else 502
	 */
	Problem ofUnknownOutcome() {
		// Not 503, because the service was available: the request was sent to it.
		int gatewayStatus = (this.status == HttpStatus.GATEWAY_TIMEOUT_504) ? this.status : HttpStatus.BAD_GATEWAY_502;
		return unknown(gatewayStatus, this.title, this.retryAfterMillis);
	}

	void write(HttpDialect dialect, Response response, Callback callback) {
		response.setStatus(this.status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
		response.getHeaders().put(RadishthreadHeader.OUTCOME, this.outcome.wireName());
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
				.put("outcome", this.outcome.wireName())
				.put("retryAfterMillis", this.retryAfterMillis));
		}
		catch (JsonProcessingException ex) {
			throw new GatewayException("Problem '" + this.title + "' cannot be written as JSON.", ex);
		}
	}

}
