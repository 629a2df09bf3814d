package org.radishthread.daemon.gateway;

import java.util.Locale;

/**
 * What a caller is told of a request that brought no answer of an upstream.
 */
enum RequestOutcome {

	/**
	 * The request certainly did not run.
	 */
	NOT_RUN,

	/**
	 * The request may or may not have run.
	 */
	UNKNOWN,

	/**
	 * The request ran earlier; its answer was not kept.
	 */
	RUN;

	String word() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
