package org.radishthread.routing;

import java.util.Locale;

/**
 * Why a request is refused before it was sent.
 */
public enum RefusalReason {

	/**
	 * No upstream of the service takes work.
	 */
	NO_UPSTREAM(503),

	/**
	 * The queue is full, or the answer could not come in time.
	 */
	OVERLOAD(503),

	/**
	 * The caller holds its whole share of the service.
	 */
	CALLER_LIMIT(429),

	/**
	 * The request waited as long as it may.
	 */
	QUEUE_TIMEOUT(503),

	/**
	 * The budget of retries is spent.
	 */
	RETRY_BUDGET(503),

	/**
	 * The instance that was asked does not route for the service.
	 */
	NOT_HOME(503);

	private final int httpStatus;

	RefusalReason(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the HTTP status that callers see.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the word used in logs and answers.
	 * @return the name in lower case with hyphens
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the reason with a word.
	 * @param wireName the name
	 * @return the reason
	 * @throws IllegalArgumentException if there is none
	 */
	public static RefusalReason fromWireName(String wireName) {
		return valueOf(wireName.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

}
