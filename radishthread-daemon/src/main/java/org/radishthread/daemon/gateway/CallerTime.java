package org.radishthread.daemon.gateway;

import java.util.OptionalLong;

import org.eclipse.jetty.http.HttpFields;

/**
 * Reads how long a caller will wait.
 */
final class CallerTime {

	private CallerTime() {
	}

	/**
	 * Returns the time that the caller has left.
	 * @param dialect knows the header
	 * @param headers the headers of the request
	 * @return the time, in milliseconds, or empty if the caller did not say it
	 */
	static OptionalLong remainingMillis(HttpDialect dialect, HttpFields headers) {
		String wanted = dialect.remainingMillisHeader(headers);
		boolean valid = wanted != null && wanted.matches("[0-9]{1,9}");
		return valid ? OptionalLong.of(Long.parseLong(wanted)) : OptionalLong.empty();
	}

}
