package org.radishthread.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines whether upstreams have crashed. When the connection of an attempt is lost,
 * the upstream is suspected; it has crashed if it then accepts no connection, or if a
 * later incarnation of it is announced. A full upstream may reset connections, that of a
 * probe too. It has crashed if all attempts at it are lost and it then accepts no
 * connection, or if it accepts none twice and sends no response. Points in time are
 * monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class CrashChecks {

	// The time after a crash within which lost connections of earlier attempts are
	// attributed to it.
	private static final long ATTRIBUTION_NANOS = 5_000_000_000L;

	// A response that arrives sooner after the loss may have been sent before it.
	private static final long RESPONSE_DELAY_NANOS = 100_000_000L;

	private static final int FULL_UPSTREAM_FAILURES = 2;

	// Keyed by the name of the upstream.
	private final Map<String, Check> checks = new HashMap<>();

	/**
	 * Records that the connection of an attempt was lost.
	 * @param upstream the upstream
	 * @param digest what equal requests have in common
	 * @param startNanos the start of the attempt
	 * @param inFlight the number of attempts in flight at the upstream, with this one
	 * @param full whether the upstream may have had no room for the attempt
	 * @param nowNanos the current time
	 * @return whether the upstream is to be probed now
	 */
	boolean recordLoss(Upstream upstream, String digest, long startNanos, int inFlight, boolean full, long nowNanos) {
		Check check = this.checks.get(upstream.name());
		boolean belongsToCheck = check != null && check.incarnation == upstream.incarnation()
				&& startNanos <= check.beganNanos && nowNanos - check.beganNanos < ATTRIBUTION_NANOS;
		if (belongsToCheck) {
			check.digests.add(digest);
			boolean allLost = check.full && inFlight == 1;
			check.full = check.full && !allLost;
			return allLost;
		}
		Check newCheck = new Check(upstream.incarnation(), inFlight == 1, full, nowNanos);
		newCheck.digests.add(digest);
		this.checks.put(upstream.name(), newCheck);
		return !full || inFlight == 1;
	}

	/**
	 * Records that no connection to an upstream could be opened for an attempt.
	 * @param upstream the name of the upstream
	 * @return whether the upstream is to be probed now
	 */
	boolean recordUnreachable(String upstream) {
		if (!isUndecided(upstream)) {
			return false;
		}
		recordProbe(upstream, false);
		return isUndecided(upstream);
	}

	/**
	 * Records a response of an upstream. It shows that a full one has not crashed.
	 * @param upstream the name of the upstream
	 * @param nowNanos the current time
	 */
	void recordResponse(String upstream, long nowNanos) {
		Check check = this.checks.get(upstream);
		if (check != null && check.full && nowNanos - check.beganNanos >= RESPONSE_DELAY_NANOS) {
			this.checks.remove(upstream);
		}
	}

	/**
	 * Returns whether an upstream lost a connection while it was full, and it is not
	 * known yet whether it has crashed.
	 * @param upstream the name of the upstream
	 * @return whether that is undecided
	 */
	boolean isUndecided(String upstream) {
		Check check = this.checks.get(upstream);
		return check != null && check.full && !check.crashed && !check.probed;
	}

	/**
	 * Records whether a suspected upstream accepts connections. It may also have been
	 * started again since, which {@link #recordIncarnation} shows.
	 * @param upstream the name of the upstream
	 * @param reachable whether it accepted a connection
	 * @return whether the upstream has crashed
	 */
	boolean recordProbe(String upstream, boolean reachable) {
		Check check = this.checks.get(upstream);
		if (check == null || check.crashed) {
			return false;
		}
		check.failures += reachable ? 0 : 1;
		check.crashed = !reachable && (!check.full || check.failures >= FULL_UPSTREAM_FAILURES);
		check.probed = reachable || check.crashed;
		return check.crashed;
	}

	/**
	 * Records the incarnation of an announced upstream. If it is a later one than the
	 * suspected one, the latter has crashed.
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 * @return whether a suspected upstream has been started again
	 */
	boolean recordIncarnation(Upstream upstream, long nowNanos) {
		Check check = this.checks.get(upstream.name());
		boolean startedAgain = check != null && upstream.incarnation() > check.incarnation
				&& nowNanos - check.beganNanos < ATTRIBUTION_NANOS;
		if (startedAgain) {
			check.crashed = true;
		}
		return startedAgain;
	}

	/**
	 * Returns whether the connection of an equal request was lost, and it is not known
	 * yet whether the upstream has crashed.
	 * @param digest what equal requests have in common
	 * @return whether a check is in progress
	 */
	boolean isPending(String digest) {
		return this.checks.values()
			.stream()
			.anyMatch((check) -> !check.crashed && !check.probed && check.digests.contains(digest));
	}

	/**
	 * Returns the crashes that were not returned before, and forgets old checks.
	 * @param nowNanos the current time
	 * @return the crashes, one for each request whose connection was lost
	 */
	List<CrashRecord> takeCrashes(long nowNanos) {
		List<CrashRecord> crashes = new ArrayList<>();
		this.checks.forEach((upstream, check) -> {
			if (check.crashed) {
				check.digests.stream()
					.filter(check.reportedDigests::add)
					.forEach((digest) -> crashes
						.add(new CrashRecord(digest, upstream, check.incarnation, check.isAlone(), check.beganNanos)));
			}
		});
		this.checks.values().removeIf((check) -> nowNanos - check.beganNanos >= ATTRIBUTION_NANOS);
		return crashes;
	}

	private static final class Check {

		private final long incarnation;

		private final boolean soleAttempt;

		private final long beganNanos;

		private final Set<String> digests = new LinkedHashSet<>();

		private final Set<String> reportedDigests = new LinkedHashSet<>();

		private boolean probed;

		private boolean crashed;

		// Whether the upstream may have had no room for the attempt.
		private boolean full;

		private int failures;

		private Check(long incarnation, boolean soleAttempt, boolean full, long beganNanos) {
			this.incarnation = incarnation;
			this.soleAttempt = soleAttempt;
			this.full = full;
			this.beganNanos = beganNanos;
		}

		private boolean isAlone() {
			return this.soleAttempt && this.digests.size() == 1;
		}

	}

}
