package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * How far the requests of a workspace that run may exceed its allotment, over all
 * instances: in any window, the rate times the window plus the burst, all that times one
 * plus the overage, plus the slack.
 *
 * @param windowSeconds the length of a window, in seconds
 * @param overage the share allowed in addition
 * @param slack the requests allowed in addition
 */
public record AllotmentLimits(double windowSeconds, double overage, double slack) {

	/**
	 * The limits of a deployment whose settings state none.
	 */
	public static final AllotmentLimits DEFAULTS = new AllotmentLimits(5, 0.1, 20);

	public AllotmentLimits {
		Assert.isTrue(windowSeconds > 0, "Window " + windowSeconds + " s must be positive.");
		Assert.isTrue(overage >= 0, "Overage " + overage + " must not be negative.");
		Assert.isTrue(slack >= 0, "Slack " + slack + " must not be negative.");
	}

}
