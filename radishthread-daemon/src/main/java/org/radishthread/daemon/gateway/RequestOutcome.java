package org.radishthread.daemon.gateway;

import java.util.Locale;

/**
 * Whether a request ran, as stated to a caller that receives a problem response.
 */
enum RequestOutcome {

	/**
	 * The request did not run.
	 */
	NOT_RUN,

	/**
	 * The request may or may not have run.
	 */
	UNKNOWN,

	/**
	 * The request ran earlier, but its response was not recorded.
	 */
	RUN;

	String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
