package org.radishthread.daemon.gateway;

import java.util.List;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

import org.radishthread.routing.LoadReport;

/**
 * Strategy for the HTTP headers by which callers, instances and upstreams exchange what
 * HTTP itself does not define: the id of a request, the time that remains for it, the key
 * and the workspace of its caller, the load of an upstream, and whether a request ran.
 * Implementations are stateless and safe for use by several threads. Header names are
 * passed in lower case.
 */
public interface HttpDialect {

	/**
	 * Returns the id by which a request is identified to upstreams.
	 * @param requestHeaders the headers of the caller's request
	 * @param generatedId an id that is unique among all requests of the system
	 * @return the id to send, or {@code null} to send none
	 */
	@Nullable String requestId(HttpFields requestHeaders, String generatedId);

	/**
	 * Returns the header value that states how long the caller waits for the response.
	 * @param requestHeaders the headers of the caller's request
	 * @return the time in milliseconds as the caller wrote it, unchecked, or {@code null}
	 * if the request does not state it
	 */
	@Nullable String remainingMillisHeader(HttpFields requestHeaders);

	/**
	 * Returns the keys by which a caller identifies its workspace. They are credentials
	 * and must not be logged.
	 * @param requestHeaders the headers of the caller's request
	 * @return the value of each header for keys, as the caller wrote it
	 */
	List<String> callerKeys(HttpFields requestHeaders);

	/**
	 * Returns whether a request header contains a key or the name of a workspace. Where
	 * the rules have workspaces, those of the caller are not forwarded.
	 * @param name the name of the header in lower case
	 * @return whether to leave the header out of the request to the upstream
	 */
	boolean isWorkspaceRequestHeader(String name);

	/**
	 * Adds the headers that describe an attempt to an upstream.
	 * @param headers the headers of the attempt, without replaced request headers
	 * @param attempt the attempt
	 */
	void addAttemptHeaders(HttpFields.Mutable headers, AttemptDetails attempt);

	/**
	 * Returns the id of the request that a response belongs to.
	 * @param responseHeaders the headers of the response
	 * @return the id of the request, or {@code null} if the response does not state it
	 */
	@Nullable String echoedRequestId(HttpFields responseHeaders);

	/**
	 * Returns what an upstream reports of its load and of further requests.
	 * @param status the HTTP status
	 * @param responseHeaders the headers of the response
	 * @return the report, or {@code null} if the response does not contain one
	 */
	@Nullable LoadReport loadReport(int status, HttpFields responseHeaders);

	/**
	 * Returns whether an upstream states that it did not run the request and will not.
	 * @param status the HTTP status
	 * @param responseHeaders the headers of the response
	 * @return whether the request certainly did not run at this upstream
	 */
	boolean hasNotRun(int status, HttpFields responseHeaders);

	/**
	 * Returns whether a response is the upstream's own response to a request that it ran,
	 * so that the response may be forwarded to the caller. Other responses may come from
	 * an intermediary or belong to an earlier request.
	 * @param requestId the id of the request, or {@code null} if it has none
	 * @param status the HTTP status
	 * @param responseHeaders the headers of the response
	 * @return whether the response may be forwarded
	 */
	boolean isForwardable(@Nullable String requestId, int status, HttpFields responseHeaders);

	/**
	 * Returns whether a response without a length counts as complete when its connection
	 * is closed without an error.
	 * @return whether to accept such responses
	 */
	boolean acceptsCloseDelimitedResponses();

	/**
	 * Returns whether a head that stands in the body of a response begins a further
	 * response to the same request, instead of being quoted by the body.
	 * @param requestId the id of the request, or {@code null} if it has none
	 * @param embeddedHeaders the headers of the head
	 * @return whether only the upstream itself can have written the head
	 */
	boolean isRepeatedResponse(@Nullable String requestId, HttpFields embeddedHeaders);

	/**
	 * Returns whether this instance sets a request header itself and so does not forward
	 * the caller's.
	 * @param name the name of the header in lower case
	 * @return whether to leave the header out of the request to the upstream
	 */
	boolean isReplacedRequestHeader(String name);

	/**
	 * Returns whether a response header is meant for this instance only.
	 * @param name the name of the header in lower case
	 * @return whether to leave the header out of the response to the caller
	 */
	boolean isInternalResponseHeader(String name);

	/**
	 * Sets the header that tells a caller after which time to retry.
	 * @param headers the headers of the response
	 * @param millis the time in milliseconds
	 */
	void setRetryAfter(HttpFields.Mutable headers, long millis);

	/**
	 * Details of an attempt that are sent to the upstream.
	 *
	 * @param requestId the id of the request, or {@code null} if it has none
	 * @param remainingMillis the time that remains until the deadline, in milliseconds
	 * @param upstreamName the name of the upstream that the attempt is sent to
	 * @param workspaceName the name of the workspace of the caller, or {@code null} for
	 * none
	 */
	record AttemptDetails(@Nullable String requestId, long remainingMillis, String upstreamName,
			@Nullable String workspaceName) {
	}

}
