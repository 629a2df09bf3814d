package org.radishthread.kernel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tracks as of when this instance knows the newest state that others hold. It numbers the
 * messages that it sends, in ascending order; a confirmation names such a message and the
 * age of the knowledge that was sent back, and the knowledge dates from sending the
 * message. Only times of the own clock are compared, so delayed messages make the
 * knowledge older, never newer. Not thread-safe; times are monotonic, in milliseconds.
 */
public final class Freshness {

	/**
	 * The time as of which the state is known if it is not known.
	 */
	public static final long UNKNOWN = Long.MIN_VALUE / 2;

	private static final int MAXIMUM_SENT_MESSAGES = 64;

	// When each message was sent, by its number, in ascending order.
	private final Map<Long, Long> sentMillis = new LinkedHashMap<>();

	private long latestNumber;

	private long currentAtMillis = UNKNOWN;

	/**
	 * Returns the latest time as of which the state is known.
	 * @return the monotonic time, in milliseconds, or {@link #UNKNOWN}
	 */
	public long currentAtMillis() {
		return this.currentAtMillis;
	}

	/**
	 * Returns the age of the knowledge.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the age, in milliseconds, or empty if nothing is known
	 */
	public OptionalLong ageMillis(long nowMillis) {
		return (this.currentAtMillis != UNKNOWN) ? OptionalLong.of(nowMillis - this.currentAtMillis)
				: OptionalLong.empty();
	}

	/**
	 * Records that the state is known as of a time.
	 * @param atMillis the monotonic time, in milliseconds
	 */
	public void recordCurrent(long atMillis) {
		this.currentAtMillis = Math.max(this.currentAtMillis, atMillis);
	}

	/**
	 * Records that a message is sent. One that is sent again keeps its first time.
	 * @param number the number of the message
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void recordSent(long number, long nowMillis) {
		if (number <= this.latestNumber) {
			return;
		}
		this.latestNumber = number;
		this.sentMillis.put(number, nowMillis);
		if (this.sentMillis.size() > MAXIMUM_SENT_MESSAGES) {
			this.sentMillis.remove(this.sentMillis.keySet().iterator().next());
		}
	}

	/**
	 * Records the state that was known when a message had arrived. A message that was not
	 * sent recently has no effect.
	 * @param number the number of the message
	 * @param ageMillis the age of that knowledge then, in milliseconds
	 */
	public void recordConfirmation(long number, long ageMillis) {
		Long sentAtMillis = this.sentMillis.get(number);
		if (sentAtMillis != null) {
			recordCurrent(sentAtMillis - ageMillis);
		}
	}

	/**
	 * Forgets the sent messages, because others number theirs anew.
	 */
	public void forgetSent() {
		this.sentMillis.clear();
		this.latestNumber = 0;
	}

	/**
	 * Forgets everything. To be called after this process was suspended.
	 */
	public void reset() {
		forgetSent();
		this.currentAtMillis = UNKNOWN;
	}

}
