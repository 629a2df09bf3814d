package org.radishthread.routing;

import java.util.Arrays;
import java.util.Locale;

/**
 * The reason why a request is refused instead of being sent, or sent again, to an
 * upstream.
 */
public enum RefusalReason {

	/**
	 * No upstream of the service can be used: none is announced, or all are draining,
	 * ejected or, for a retry, already tried.
	 */
	NO_UPSTREAM(503),

	/**
	 * The queue is full, or the response would be too late.
	 */
	OVERLOAD(503),

	/**
	 * The open requests of the caller use up its share of the service.
	 */
	CALLER_LIMIT(429),

	/**
	 * The request left the queue because its waiting time expired or it could no longer
	 * be served in time.
	 */
	QUEUE_TIMEOUT(503),

	/**
	 * An attempt failed, and the retry budget of the service allows no other.
	 */
	RETRY_BUDGET(503),

	/**
	 * Upstreams crashed while they ran equal requests. The request is refused for some
	 * time, or until an equal one that runs alone has completed.
	 */
	QUARANTINED(503),

	/**
	 * The instance that received the slot request does not act as home of the service.
	 */
	NOT_HOME(503),

	/**
	 * The requests of the workspace use up its allotment.
	 */
	ALLOTMENT(429),

	/**
	 * It could not be found out in time whether the allotment of the workspace is used
	 * up.
	 */
	ALLOTMENT_UNKNOWN(503),

	/**
	 * An attempt failed, and the request has been sent to as many upstreams as its route
	 * allows.
	 */
	ATTEMPTS_USED(503),

	/**
	 * An attempt failed, and the deadline of the request has passed.
	 */
	DEADLINE_PASSED(503),

	/**
	 * An attempt failed, and the home does not respond to the request for another.
	 */
	HOME_SILENT(503);

	private final int httpStatus;

	RefusalReason(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the HTTP status of the response to the caller.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the name used in responses, slot messages and logs.
	 * @return the name in lower case with hyphens
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the reason that is sent beside this one, for instances of versions that do
	 * not know it.
	 * @return a reason with the same status that all versions know
	 */
	public RefusalReason generalReason() {
		return switch (this) {
			case ALLOTMENT -> CALLER_LIMIT;
			case ALLOTMENT_UNKNOWN -> OVERLOAD;
			case ATTEMPTS_USED, DEADLINE_PASSED, HOME_SILENT -> RETRY_BUDGET;
			default -> this;
		};
	}

	/**
	 * Returns the reason of a refusal by another instance.
	 * @param wireName the wire name of a reason that all versions know
	 * @param specificWireName the wire name of a more specific reason, empty if there is
	 * none; if it is unknown, the other reason counts
	 * @return the most specific known reason
	 */
	public static RefusalReason fromWireNames(String wireName, String specificWireName) {
		return Arrays.stream(values())
			.filter((reason) -> reason.wireName().equals(specificWireName))
			.findFirst()
			.orElseGet(() -> fromWireName(wireName));
	}

	/**
	 * Returns the reason with this wire name.
	 * @param wireName the name, as returned by {@link #wireName()}
	 * @return the reason
	 * @throws IllegalArgumentException if no reason has this name
	 */
	public static RefusalReason fromWireName(String wireName) {
		return valueOf(wireName.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

}
