package org.radishthread.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.radishthread.kernel.Backoff;
import org.radishthread.protocol.InstanceRecord;

/**
 * Tracks whether an instance that started has received the records of the others. The
 * response of one instance that is synchronized itself suffices. Instances that have not
 * been synchronized since their own start, as after a restart of all of them, know only
 * parts: it takes a majority of them. The instances that count request records of a
 * majority at once, because all others wait for one that is synchronized. The others are
 * many, and each response may contain most of the records, so that they request them of
 * one instance after the other; the intervals grow only while none responds. Not
 * thread-safe.
 */
final class InitialSynchronization {

	private static final long MINIMUM_REQUEST_INTERVAL_MILLIS = 200;

	private static final long MAXIMUM_REQUEST_INTERVAL_MILLIS = 2_000;

	private final PeerSelector selector;

	private final Backoff requestInterval = new Backoff(MINIMUM_REQUEST_INTERVAL_MILLIS,
			MAXIMUM_REQUEST_INTERVAL_MILLIS);

	private long lastRequestMillis = Long.MIN_VALUE;

	private long nextRequestMillis = Long.MIN_VALUE;

	// The names of the instances that responded and were not synchronized themselves.
	private final Set<String> partialSources = new HashSet<>();

	private boolean completed;

	InitialSynchronization(PeerSelector selector) {
		this.selector = selector;
	}

	boolean isCompleted() {
		return this.completed;
	}

	/**
	 * Returns the instances to request records of now.
	 * @param sources the instances that can respond
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return their peer addresses
	 */
	List<String> nextTargets(Sources sources, long nowMillis) {
		if (sources.candidates().isEmpty() || nowMillis < this.nextRequestMillis) {
			return List.of();
		}
		this.lastRequestMillis = nowMillis;
		this.nextRequestMillis = nowMillis + this.requestInterval.nextMillis();
		List<InstanceRecord> remainingCandidates = sources.candidates()
			.stream()
			.filter((instance) -> !this.partialSources.contains(instance.getName()))
			.toList();
		List<InstanceRecord> candidates = remainingCandidates.isEmpty() ? sources.candidates() : remainingCandidates;
		boolean concurrent = sources.selfCounts() && !this.partialSources.isEmpty();
		int targetCount = concurrent ? Math.max(1, sources.requiredCount() - countPartial(sources)) : 1;
		return this.selector.select(candidates.stream().map(InstanceRecord::getPeerAddress).toList(), targetCount);
	}

	/**
	 * Records the response of an instance that is synchronized itself.
	 */
	void recordResponse() {
		this.completed = true;
	}

	/**
	 * Records the response of an instance that is not synchronized itself.
	 * @param source the name of the instance
	 * @param sources the instances of which a majority suffices
	 */
	void recordPartialResponse(String source, Sources sources) {
		boolean added = this.partialSources.add(source);
		if (!sources.selfCounts()) {
			this.requestInterval.reset();
			this.nextRequestMillis = this.lastRequestMillis + MINIMUM_REQUEST_INTERVAL_MILLIS;
		}
		else if (added) {
			this.nextRequestMillis = Long.MIN_VALUE;
		}
		this.completed |= countPartial(sources) >= sources.requiredCount();
	}

	private int countPartial(Sources sources) {
		return (int) sources.members()
			.stream()
			.filter((member) -> this.partialSources.contains(member.getName()))
			.count();
	}

	/**
	 * The instances that records are requested of.
	 *
	 * @param candidates the instances to ask: the other control instances, or all others
	 * if there are none
	 * @param members the other instances that count for a majority: those that are
	 * control instances, or all if no instance is one
	 * @param requiredCount the number of members that suffice if they are not
	 * synchronized themselves
	 * @param selfCounts whether this instance is one of those that count
	 */
	record Sources(List<InstanceRecord> candidates, List<InstanceRecord> members, int requiredCount,
			boolean selfCounts) {
	}

}
