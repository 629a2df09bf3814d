package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * The load of an upstream, as reported with one of its responses.
 *
 * @param runningRequests the number of requests that it is processing
 * @param waitingRequests the number of requests that wait at the upstream
 * @param slots the number of requests that it processes concurrently
 * @param pacePercent the current service time in percent of the usual one, or zero if not
 * reported
 */
public record LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent) {

	public LoadReport {
		Assert.isTrue(runningRequests >= 0 && waitingRequests >= 0 && slots >= 0 && pacePercent >= 0,
				"Numbers of a load report must not be negative.");
	}

}
