package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;

/**
 * Remembers under which requests upstreams have crashed, at all gateways, to tell the
 * request that causes the crashes from those that ran beside it. A request is:
 * <ul>
 * <li><em>suspected</em> after two crashes. It then runs alone on its upstream, one
 * attempt at a time, until it succeeds or the upstream crashes again.</li>
 * <li><em>quarantined</em>, that is, refused for some time, after two crashes of which it
 * caused one alone. The first quarantine is short, since an upstream may have crashed by
 * itself.</li>
 * </ul>
 * A success clears a request. Points in time are monotonic, in nanoseconds. Safe for use
 * by several threads.
 */
public final class CrashHistory {

	/**
	 * The number of requests that an instance remembers unless its settings say
	 * otherwise.
	 */
	public static final int DEFAULT_MAXIMUM_ENTRIES = 1_000;

	/**
	 * The number of crashes after which a request runs only alone.
	 */
	static final int SUSPICION_CRASHES = 2;

	// Longer than the longest quarantine, so that its end does not clear the request.
	private static final long RETENTION_NANOS = Duration.ofHours(25).toNanos();

	private static final List<Duration> QUARANTINES = List.of(Duration.ofSeconds(30), Duration.ofMinutes(5),
			Duration.ofHours(24));

	// From this number of crashes on, the first quarantine is skipped.
	private static final int NUMEROUS_CRASHES = 5;

	private final int maximumEntries;

	// Keyed by the digest of the request.
	private final Map<String, Entry> entries = new LinkedHashMap<>();

	/**
	 * Creates an empty history.
	 * @param maximumEntries the maximum number of requests that are remembered
	 */
	public CrashHistory(int maximumEntries) {
		Assert.isTrue(maximumEntries > 0, "Number of requests " + maximumEntries + " must be positive.");
		this.maximumEntries = maximumEntries;
	}

	/**
	 * Records a crash. A crash that is already known, or older than a success, has no
	 * effect.
	 * @param crash the crash
	 * @param nowNanos the current time
	 * @return whether the crash was not known before
	 */
	public synchronized boolean record(CrashRecord crash, long nowNanos) {
		if (crash.digest().isEmpty() || nowNanos - crash.crashedAtNanos() >= RETENTION_NANOS) {
			return false;
		}
		removeExpired(nowNanos);
		Entry entry = this.entries.get(crash.digest());
		if (entry == null) {
			removeLeastSuspectedIfFull();
			entry = new Entry();
			this.entries.put(crash.digest(), entry);
		}
		return entry.add(crash);
	}

	private void removeExpired(long nowNanos) {
		this.entries.values().removeIf((entry) -> nowNanos - entry.lastEventNanos() >= RETENTION_NANOS);
	}

	// Requests with few crashes first, so that many different requests do not displace
	// one that has caused several crashes.
	private void removeLeastSuspectedIfFull() {
		if (this.entries.size() < this.maximumEntries) {
			return;
		}
		this.entries.entrySet()
			.stream()
			.min(Comparator.<Map.Entry<String, Entry>>comparingInt((entry) -> entry.getValue().crashes.size())
				.thenComparingLong((entry) -> entry.getValue().lastEventNanos()))
			.ifPresent((entry) -> this.entries.remove(entry.getKey()));
	}

	/**
	 * Records that a request was completed, so that earlier crashes do not count against
	 * it.
	 * @param digest what equal requests have in common
	 * @param completedAtNanos the time of the completion
	 * @return whether a crash was counted before
	 */
	public synchronized boolean clear(String digest, long completedAtNanos) {
		Entry entry = this.entries.get(digest);
		return entry != null && entry.clear(completedAtNanos);
	}

	/**
	 * Returns the number of crashes that count against a request.
	 * @param digest what equal requests have in common
	 * @return the count
	 */
	public synchronized int crashCount(String digest) {
		Entry entry = this.entries.get(digest);
		return (entry != null) ? entry.crashes.size() : 0;
	}

	/**
	 * Returns how long a request is still quarantined.
	 * @param digest what equal requests have in common
	 * @param nowNanos the current time
	 * @return the remaining time in nanoseconds, or zero if it is not quarantined
	 */
	public synchronized long quarantineNanos(String digest, long nowNanos) {
		Entry entry = this.entries.get(digest);
		return (entry != null) ? entry.quarantineNanos(nowNanos) : 0;
	}

	/**
	 * Returns all crashes that count against requests.
	 * @return the crashes
	 */
	public synchronized List<CrashRecord> crashes() {
		List<CrashRecord> crashes = new ArrayList<>();
		this.entries.values().forEach((entry) -> crashes.addAll(entry.crashes.values()));
		return crashes;
	}

	private static final class Entry {

		// Keyed by upstream and incarnation: two requests with the same digest may run
		// on one upstream when it crashes.
		private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();

		private @Nullable Long clearedAtNanos;

		private boolean add(CrashRecord crash) {
			if (this.clearedAtNanos != null && crash.crashedAtNanos() <= this.clearedAtNanos) {
				return false;
			}
			return this.crashes.putIfAbsent(crash.upstream() + '/' + crash.incarnation(), crash) == null;
		}

		private boolean clear(long completedAtNanos) {
			this.clearedAtNanos = (this.clearedAtNanos != null) ? Math.max(this.clearedAtNanos, completedAtNanos)
					: completedAtNanos;
			return this.crashes.values().removeIf((crash) -> crash.crashedAtNanos() <= completedAtNanos);
		}

		private long lastEventNanos() {
			return this.crashes.values()
				.stream()
				.mapToLong(CrashRecord::crashedAtNanos)
				.max()
				.orElseGet(() -> (this.clearedAtNanos != null) ? this.clearedAtNanos : Long.MIN_VALUE / 2);
		}

		private long quarantineNanos(long nowNanos) {
			boolean causedAlone = this.crashes.values().stream().anyMatch(CrashRecord::alone);
			if (this.crashes.size() < SUSPICION_CRASHES || !causedAlone) {
				return 0;
			}
			long crashesAlone = this.crashes.values().stream().filter(CrashRecord::alone).count();
			long step = crashesAlone - 1 + ((this.crashes.size() >= NUMEROUS_CRASHES) ? 1 : 0);
			Duration quarantine = QUARANTINES.get((int) Math.min(step, QUARANTINES.size() - 1));
			return Math.max(0, lastEventNanos() + quarantine.toNanos() - nowNanos);
		}

	}

}
