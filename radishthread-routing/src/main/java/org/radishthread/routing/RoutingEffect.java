package org.radishthread.routing;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * An action that a {@link ServiceRouter} has decided on and that its user carries out.
 */
public sealed interface RoutingEffect {

	/**
	 * Sends a request to an upstream.
	 *
	 * @param requestId the identifier of the request
	 * @param upstream the upstream
	 * @param kind the kind of attempt
	 * @param inFlight the number of attempts in flight at the upstream, with this one
	 * @param pacePercent the estimated service time of the upstream at this moment, in
	 * percent of the usual one, or zero if another instance chose the upstream
	 * @param queueTimeNanos the duration for which the request was queued, in nanoseconds
	 * @param hedgeAfterNanos the time without a response after which
	 * {@link ServiceRouter#hedge} is to be called, in nanoseconds, or zero for never
	 * @param limitCounted whether the attempt was counted against a limit that the
	 * upstream named, or against the rate of a cold upstream
	 * @param relay the peer address of the instance that relays the attempt, empty for
	 * the home, or {@code null} if the attempt is made directly
	 */
	record Dispatch(long requestId, Upstream upstream, AttemptKind kind, int inFlight, int pacePercent,
			long queueTimeNanos, long hedgeAfterNanos, boolean limitCounted,
			@Nullable String relay) implements RoutingEffect {
	}

	/**
	 * Refuses to send a request, or to send it again.
	 *
	 * @param requestId the identifier of the request
	 * @param reason the reason
	 * @param retryAfterMillis the delay after which the caller should try again, in
	 * milliseconds
	 */
	record Refusal(long requestId, RefusalReason reason, long retryAfterMillis) implements RoutingEffect {

		/**
		 * Refuses a request because upstreams crashed while they ran equal ones.
		 * @param request the request
		 * @param quarantineNanos the time after which it may be sent, in nanoseconds
		 * @return the refusal
		 */
		public static Refusal quarantined(RoutingRequest request, long quarantineNanos) {
			return new Refusal(request.id(), RefusalReason.QUARANTINED,
					Math.max(1, Duration.ofNanos(quarantineNanos).toMillis()));
		}

	}

	/**
	 * Requests a load report, with the current pace, from an upstream. The report is
	 * passed to {@link ServiceRouter#recordPaceProbe}.
	 *
	 * @param upstream the upstream
	 * @param path the path of the probe request
	 */
	record PaceProbe(Upstream upstream, String path) implements RoutingEffect {
	}

	/**
	 * Probes an upstream that is ejected, may have crashed or could not be reached from
	 * another instance, by opening a connection to it. The result is passed to
	 * {@link ServiceRouter#recordConnectionProbe}.
	 *
	 * @param upstream the upstream
	 */
	record ConnectionProbe(Upstream upstream) implements RoutingEffect {
	}

	/**
	 * Reports that an instance reaches no upstream of the service, or reaches one again.
	 *
	 * @param origin the peer address of the instance, or empty for this instance
	 * @param partitioned whether it reaches none
	 */
	record PartitionChanged(String origin, boolean partitioned) implements RoutingEffect {
	}

	/**
	 * Reports that an upstream is ejected.
	 *
	 * @param upstream the name of the upstream
	 * @param result the result of the attempt or probe that led to it
	 * @param origin the peer address of the instance that made the attempt, or empty for
	 * this instance
	 */
	record UpstreamEjected(String upstream, AttemptResult result, String origin) implements RoutingEffect {
	}

	/**
	 * Reports that all upstreams of the service are in evacuated zones, so that its
	 * requests are refused, or that one is not any more.
	 *
	 * @param evacuated whether all are in evacuated zones
	 */
	record ServiceEvacuated(boolean evacuated) implements RoutingEffect {
	}

	/**
	 * Reports that an upstream lost the connection of an attempt while it was full, so
	 * that it is sent no new requests for a short time.
	 *
	 * @param upstream the name of the upstream
	 * @param backOffMillis the time, in milliseconds
	 */
	record UpstreamFull(String upstream, long backOffMillis) implements RoutingEffect {
	}

	/**
	 * Reports that an upstream is cold, so that its requests are counted.
	 *
	 * @param upstream the name of the upstream
	 * @param remainingMillis how much longer it is cold, in milliseconds
	 * @param requestsPerSecond the requests per second that it tolerates
	 */
	record UpstreamCold(String upstream, long remainingMillis, double requestsPerSecond) implements RoutingEffect {
	}

	/**
	 * Tells the other gateways that an upstream crashed while it ran a request.
	 *
	 * @param crash the crash
	 */
	record CrashFound(CrashRecord crash) implements RoutingEffect {
	}

	/**
	 * Tells the other gateways that a request under which upstreams had crashed was
	 * completed.
	 *
	 * @param digest what equal requests have in common
	 * @param completedAtNanos the monotonic time of the completion, in nanoseconds
	 */
	record CrashesCleared(String digest, long completedAtNanos) implements RoutingEffect {
	}

}
