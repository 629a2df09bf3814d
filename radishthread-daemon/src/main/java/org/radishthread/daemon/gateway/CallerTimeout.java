package org.radishthread.daemon.gateway;

import java.util.OptionalLong;

import org.eclipse.jetty.http.HttpFields;

/**
 * Reads from the headers of a request how long its caller waits for the response.
 */
final class CallerTimeout {

	private CallerTimeout() {
	}

	/**
	 * Returns how long the caller still waits for the response. A value that is not a
	 * number of at most nine digits is ignored.
	 * @param dialect the dialect that defines the header
	 * @param headers the headers of the request
	 * @return the time in milliseconds, or empty if the request does not state it
	 */
	static OptionalLong remainingMillis(HttpDialect dialect, HttpFields headers) {
		String headerValue = dialect.remainingMillisHeader(headers);
		boolean valid = headerValue != null && headerValue.matches("[0-9]{1,9}");
		return valid ? OptionalLong.of(Long.parseLong(headerValue)) : OptionalLong.empty();
	}

}
