package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

import org.radishthread.routing.LoadReport;

/**
 * How callers, instances and upstreams name what HTTP itself does not say: the identity
 * of a request, the time that remains, whether a request ran. Header names are compared
 * in lower case.
 */
public interface HttpDialect {

	/**
	 * Names a request towards upstreams.
	 * @param request the headers of the caller's request
	 * @param proposed a name that is unique among all requests of the system
	 * @return the name to send, or {@code null} to send none
	 */
	@Nullable String requestName(HttpFields request, String proposed);

	/**
	 * Returns how long the caller waits.
	 * @param request the headers of the caller's request
	 * @return the time in milliseconds as the caller wrote it, if it did
	 */
	@Nullable String remainingMillis(HttpFields request);

	/**
	 * Adds what an upstream is told of an attempt.
	 * @param headers the headers of the attempt, without any of this dialect
	 * @param attempt the attempt
	 */
	void describe(HttpFields.Mutable headers, DescribedAttempt attempt);

	/**
	 * Returns the request that an answer belongs to.
	 * @param answer the headers of the answer
	 * @return the name of the request, or {@code null} if the upstream did not say
	 */
	@Nullable String nameOfAnswered(HttpFields answer);

	/**
	 * Returns what an upstream says of its load.
	 * @param answer the headers of the answer
	 * @return the load, or {@code null} if the upstream does not say
	 */
	@Nullable LoadReport loadOf(HttpFields answer);

	/**
	 * Returns whether an upstream says that it did not run the request and will not.
	 * @param status the HTTP status
	 * @param answer the headers of the answer
	 * @return whether the request certainly did not run there
	 */
	boolean isNotRun(int status, HttpFields answer);

	/**
	 * Returns whether an answer may be passed on as the upstream's own.
	 * @param requestName the name of the request, if it has one
	 * @param status the HTTP status
	 * @param answer the headers of the answer
	 * @return whether it is an answer to this request, which ran
	 */
	boolean isGenuine(@Nullable String requestName, int status, HttpFields answer);

	/**
	 * Returns whether an answer without a length is whole when its connection closes in
	 * order.
	 * @return whether to accept such answers
	 */
	boolean acceptsAnswersUntilClose();

	/**
	 * Returns whether a header of a caller is replaced by this instance.
	 * @param name the name in lower case
	 * @return whether not to copy it to the upstream
	 */
	boolean replacesInRequest(String name);

	/**
	 * Returns whether a header of an upstream is meant for this instance only.
	 * @param name the name in lower case
	 * @return whether not to copy it to the caller
	 */
	boolean keepsFromCaller(String name);

	/**
	 * Tells a caller when to come back.
	 * @param headers the headers of the answer
	 * @param millis the time in milliseconds
	 */
	void retryAfter(HttpFields.Mutable headers, long millis);

	/**
	 * An attempt to run a request at an upstream.
	 *
	 * @param name the name of the request, if it has one
	 * @param remainingMillis the time that is left for the answer, in milliseconds
	 * @param upstream the name of the upstream that is meant
	 */
	record DescribedAttempt(@Nullable String name, long remainingMillis, String upstream) {
	}

}
