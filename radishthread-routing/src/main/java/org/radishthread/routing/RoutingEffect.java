package org.radishthread.routing;

/**
 * What a {@link ServiceRouter} has decided.
 */
public sealed interface RoutingEffect {

	/**
	 * The request is to be sent to an upstream.
	 *
	 * @param requestId the request
	 * @param upstream where to send it
	 * @param kind whether this is the first attempt
	 * @param inFlight the attempts in flight at the upstream, with this one
	 * @param queueTimeNanos how long the request was queued, in nanoseconds
	 * @param hedgeAfterNanos the time without an answer after which
	 * {@link ServiceRouter#hedge} is worth a call, in nanoseconds, or zero for never
	 */
	record Dispatch(long requestId, Upstream upstream, AttemptKind kind, int inFlight, long queueTimeNanos,
			long hedgeAfterNanos) implements RoutingEffect {
	}

	/**
	 * The request is not sent, or not sent again.
	 *
	 * @param requestId the request
	 * @param reason why
	 * @param retryAfterMillis when asking again may help, in milliseconds
	 */
	record Refusal(long requestId, RefusalReason reason, long retryAfterMillis) implements RoutingEffect {
	}

	/**
	 * An upstream is to be asked how fast it works; {@link ServiceRouter#recordPaceProbe}
	 * takes the answer.
	 *
	 * @param upstream the upstream
	 * @param path the path of the request that asks
	 */
	record PaceProbe(Upstream upstream, String path) implements RoutingEffect {
	}

	/**
	 * An ejected upstream is to be probed by opening a connection to it;
	 * {@link ServiceRouter#recordConnectionProbe} takes the result.
	 *
	 * @param upstream the upstream
	 */
	record ConnectionProbe(Upstream upstream) implements RoutingEffect {
	}

}
