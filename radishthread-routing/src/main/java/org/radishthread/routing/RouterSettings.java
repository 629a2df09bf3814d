package org.radishthread.routing;

import java.time.Duration;

import org.radishthread.kernel.Assert;

/**
 * What the routers of an instance depend on besides the rules.
 *
 * @param zone the availability zone of the instance
 * @param maximumInstances the maximum number of instances, which share the budget of
 * connection probes
 * @param retryLimits the limit on retries and hedges that all instances share
 * @param paceProbesPerSecond the maximum number of pace probes per second of one router
 * @param coldStartLimits the limit on the requests to cold upstreams
 * @param homeResponseTimeout the time without a response to the request for a retry after
 * which the home of a service counts as unavailable
 */
public record RouterSettings(String zone, int maximumInstances, RetryLimits retryLimits, double paceProbesPerSecond,
		ColdStartLimits coldStartLimits, Duration homeResponseTimeout) {

	/**
	 * The rate of pace probes that an instance with a whole core can send.
	 */
	public static final double DEFAULT_PACE_PROBES_PER_SECOND = 500;

	public RouterSettings {
		Assert.isTrue(maximumInstances > 0, "Number of instances " + maximumInstances + " must be positive.");
		Assert.isTrue(paceProbesPerSecond > 0, "Probe rate " + paceProbesPerSecond + " must be positive.");
	}

	public RouterSettings(String zone, int maximumInstances, RetryLimits retryLimits, double paceProbesPerSecond,
			ColdStartLimits coldStartLimits) {
		this(zone, maximumInstances, retryLimits, paceProbesPerSecond, coldStartLimits,
				SlotRequester.MINIMUM_RESPONSE_TIMEOUT);
	}

	public RouterSettings(String zone, int maximumInstances, RetryLimits retryLimits, double paceProbesPerSecond) {
		this(zone, maximumInstances, retryLimits, paceProbesPerSecond, ColdStartLimits.DEFAULTS);
	}

	/**
	 * Returns the settings of a router for one of several pools of a service. All of them
	 * together keep the limits of these settings.
	 * @param poolCount the number of pools
	 * @return the settings
	 */
	public RouterSettings dividedBy(int poolCount) {
		return new RouterSettings(this.zone, this.maximumInstances * poolCount,
				new RetryLimits(this.retryLimits.ratio(), this.retryLimits.slack() / poolCount,
						this.retryLimits.windowSeconds()),
				this.paceProbesPerSecond, this.coldStartLimits, this.homeResponseTimeout);
	}

	/**
	 * Returns the settings of an instance of a deployment whose settings state no limits.
	 * @param zone the availability zone of the instance
	 * @param maximumInstances the maximum number of instances
	 * @return the settings
	 */
	public static RouterSettings defaults(String zone, int maximumInstances) {
		return new RouterSettings(zone, maximumInstances, RetryLimits.DEFAULTS, DEFAULT_PACE_PROBES_PER_SECOND);
	}

}
