package org.radishthread.rules;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Rule that sets the queue limits, the budgets and the ejection threshold of a service.
 *
 * @param service the name of the service
 * @param queueLimit the maximum number of requests queued at one instance
 * @param queueTimeout the longest time that a request stays queued
 * @param callerSharePercent the share, in percent, of the slots and queue places at one
 * instance that one caller may take while other callers have requests there
 * @param probesPerSecond the budget of all instances together for probes of ejected
 * upstreams
 * @param retryPercent the retry budget: retries and hedges per hundred requests
 * @param ejectionFailureThreshold the number of consecutive failures after which an
 * upstream is ejected
 * @param paceProbeRule the rule for pace probes, or {@code null} for none
 * @param coldRequestsPerSecond the requests per second that a cold upstream of the
 * service tolerates, or zero for no limit
 */
public record ServiceRule(String service, int queueLimit, Duration queueTimeout, int callerSharePercent,
		int probesPerSecond, int retryPercent, int ejectionFailureThreshold, @Nullable PaceProbeRule paceProbeRule,
		double coldRequestsPerSecond) implements LineRule {

	public ServiceRule(String service, int queueLimit, Duration queueTimeout, int callerSharePercent,
			int probesPerSecond, int retryPercent, int ejectionFailureThreshold) {
		this(service, queueLimit, queueTimeout, callerSharePercent, probesPerSecond, retryPercent,
				ejectionFailureThreshold, null);
	}

	public ServiceRule(String service, int queueLimit, Duration queueTimeout, int callerSharePercent,
			int probesPerSecond, int retryPercent, int ejectionFailureThreshold,
			@Nullable PaceProbeRule paceProbeRule) {
		this(service, queueLimit, queueTimeout, callerSharePercent, probesPerSecond, retryPercent,
				ejectionFailureThreshold, paceProbeRule, 0);
	}

	/**
	 * Returns the rule of a service for which the rule file has none.
	 * @param service the name of the service
	 * @return the default rule
	 */
	public static ServiceRule defaults(String service) {
		return new ServiceRule(service, 256, Duration.ofMillis(1000), 50, 20, 10, 3);
	}

}
