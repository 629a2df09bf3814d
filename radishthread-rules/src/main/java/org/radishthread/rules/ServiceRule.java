package org.radishthread.rules;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Sets the limits and budgets of a service.
 *
 * @param service the name of the service
 * @param queueLimit the greatest number of requests that wait at one instance
 * @param queueTimeout the longest time that a request waits
 * @param callerSharePercent the share of in-flight and waiting requests at one instance
 * that one caller may hold while others ask, in percent
 * @param probesPerSecond the measuring budget of all instances together
 * @param retryPercent the retries and hedges allowed per hundred requests
 * @param ejectionFailureThreshold the consecutive failures after which an upstream is
 * ejected
 * @param paceProbeRule how upstreams are asked for their pace, or {@code null} for not
 */
public record ServiceRule(String service, int queueLimit, Duration queueTimeout, int callerSharePercent,
		int probesPerSecond, int retryPercent, int ejectionFailureThreshold, @Nullable PaceProbeRule paceProbeRule) {

	public ServiceRule(String service, int queueLimit, Duration queueTimeout, int callerSharePercent,
			int probesPerSecond, int retryPercent, int ejectionFailureThreshold) {
		this(service, queueLimit, queueTimeout, callerSharePercent, probesPerSecond, retryPercent,
				ejectionFailureThreshold, null);
	}

	/**
	 * Returns the values that hold for a service without a rule of its own.
	 * @param service the name of the service
	 * @return the default rule
	 */
	public static ServiceRule defaults(String service) {
		return new ServiceRule(service, 256, Duration.ofMillis(1000), 50, 20, 10, 3);
	}

}
