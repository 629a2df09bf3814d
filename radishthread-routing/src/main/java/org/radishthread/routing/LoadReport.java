package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * What an upstream says of its load with an answer.
 *
 * @param runningRequests the requests that it works on
 * @param waitingRequests the requests that wait there
 * @param slots the requests that it works on at once
 * @param pacePercent how long work takes there at this moment, 100 as usual, or zero if
 * the upstream does not say
 */
public record LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent) {

	public LoadReport {
		Assert.isTrue(runningRequests >= 0 && waitingRequests >= 0 && slots >= 0 && pacePercent >= 0,
				"Numbers of a load report must not be negative.");
	}

}
