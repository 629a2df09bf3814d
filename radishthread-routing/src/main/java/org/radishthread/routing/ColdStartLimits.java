package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * How far the requests to a cold upstream may exceed the rate that its service names, in
 * any second and over all instances: the rate times the overage, plus the slack.
 *
 * @param overage the factor on the rate, at least 1
 * @param slack the requests in addition
 */
public record ColdStartLimits(double overage, double slack) {

	/**
	 * The limits of a deployment whose settings state none.
	 */
	public static final ColdStartLimits DEFAULTS = new ColdStartLimits(1, 0);

	public ColdStartLimits {
		Assert.isTrue(overage >= 1, "Overage " + overage + " must be at least 1.");
		Assert.isTrue(slack >= 0, "Slack " + slack + " must not be negative.");
	}

}
