package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * What an upstream says of its load with an answer.
 *
 * @param running the requests that it works on
 * @param waiting the requests that wait there
 * @param slots the requests that it works on at once
 * @param pacePercent how long work takes there at this moment, 100 as usual, or zero if
 * the upstream does not say
 */
public record LoadReport(int running, int waiting, int slots, int pacePercent) {

	public LoadReport {
		Assert.isTrue(running >= 0 && waiting >= 0 && slots >= 0 && pacePercent >= 0,
				"Numbers of a load report must not be negative.");
	}

}
