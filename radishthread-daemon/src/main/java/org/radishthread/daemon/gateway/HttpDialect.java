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
	@Nullable String requestId(HttpFields request, String proposed);

	/**
	 * Returns how long the caller waits.
	 * @param request the headers of the caller's request
	 * @return the time in milliseconds as the caller wrote it, if it did
	 */
	@Nullable String remainingMillisHeader(HttpFields request);

	/**
	 * Adds what an upstream is told of an attempt.
	 * @param headers the headers of the attempt, without any of this dialect
	 * @param attempt the attempt
	 */
	void addAttemptHeaders(HttpFields.Mutable headers, AttemptDetails attempt);

	/**
	 * Returns the request that an answer belongs to.
	 * @param answer the headers of the answer
	 * @return the name of the request, or {@code null} if the upstream did not say
	 */
	@Nullable String echoedRequestId(HttpFields answer);

	/**
	 * Returns what an upstream says of its load.
	 * @param answer the headers of the answer
	 * @return the load, or {@code null} if the upstream does not say
	 */
	@Nullable LoadReport loadReport(HttpFields answer);

	/**
	 * Returns whether an upstream says that it did not run the request and will not.
	 * @param status the HTTP status
	 * @param answer the headers of the answer
	 * @return whether the request certainly did not run there
	 */
	boolean isNotRun(int status, HttpFields answer);

	/**
	 * Returns whether an answer may be passed on as the upstream's own.
	 * @param requestId the name of the request, if it has one
	 * @param status the HTTP status
	 * @param answer the headers of the answer
	 * @return whether it is an answer to this request, which ran
	 */
	boolean isForwardable(@Nullable String requestId, int status, HttpFields answer);

	/**
	 * Returns whether an answer without a length is whole when its connection closes in
	 * order.
	 * @return whether to accept such answers
	 */
	boolean acceptsCloseDelimitedResponses();

	/**
	 * Returns whether a header of a caller is replaced by this instance.
	 * @param name the name in lower case
	 * @return whether not to copy it to the upstream
	 */
	boolean isReplacedRequestHeader(String name);

	/**
	 * Returns whether a header of an upstream is meant for this instance only.
	 * @param name the name in lower case
	 * @return whether not to copy it to the caller
	 */
	boolean isInternalResponseHeader(String name);

	/**
	 * Tells a caller when to come back.
	 * @param headers the headers of the answer
	 * @param millis the time in milliseconds
	 */
	void setRetryAfter(HttpFields.Mutable headers, long millis);

	/**
	 * An attempt to run a request at an upstream.
	 *
	 * @param requestId the id of the request, if it has one
	 * @param remainingMillis the time that is left for the answer, in milliseconds
	 * @param upstreamName the name of the upstream that is meant
	 */
	record AttemptDetails(@Nullable String requestId, long remainingMillis, String upstreamName) {
	}

}
