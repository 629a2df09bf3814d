package org.radishthread.routing;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishthread.kernel.Assert;

/**
 * The instances that have started lately while others have run for longer. They serve
 * slowly until their code is compiled, so they are not asked as homes yet. If most
 * instances started together, none of them is among these. Times are those of the wall
 * clock, in milliseconds: instances whose clocks differ disagree for that long.
 *
 * @param instances the names of the instances
 * @param endMillis the time from which on one of them is not recent any more
 */
public record RecentStarts(Set<String> instances, long endMillis) {

	/**
	 * No instances.
	 */
	public static final RecentStarts NONE = new RecentStarts(Set.of(), Long.MAX_VALUE);

	/**
	 * The time after its start in which an instance is recent, in milliseconds.
	 */
	static final long RECENT_MILLIS = 10_000;

	/**
	 * The time by which an instance started later than the older ones if it is recent, in
	 * milliseconds.
	 */
	static final long LATER_MILLIS = 3_000;

	// The older instances are at least one in this number of all.
	private static final int OLDER_DIVISOR = 4;

	public RecentStarts {
		Assert.isTrue(instances.isEmpty() == (endMillis == Long.MAX_VALUE),
				"Recent starts of " + instances + " must end at some time, but end at " + endMillis + ".");
	}

	/**
	 * Finds the instances that started lately.
	 * @param startMillis the times at which the live instances started, by their names
	 * @param nowMillis the time
	 * @return the instances
	 */
	public static RecentStarts find(Map<String, Long> startMillis, long nowMillis) {
		long olderStartMillis = startMillis.values()
			.stream()
			.sorted()
			.skip(startMillis.size() / OLDER_DIVISOR)
			.findFirst()
			.orElse(nowMillis);
		Map<String, Long> recent = startMillis.entrySet()
			.stream()
			.filter((start) -> start.getValue() > olderStartMillis + LATER_MILLIS
					&& nowMillis < start.getValue() + RECENT_MILLIS)
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
		long endMillis = recent.values()
			.stream()
			.mapToLong((start) -> start + RECENT_MILLIS)
			.min()
			.orElse(Long.MAX_VALUE);
		return new RecentStarts(recent.keySet(), endMillis);
	}

}
