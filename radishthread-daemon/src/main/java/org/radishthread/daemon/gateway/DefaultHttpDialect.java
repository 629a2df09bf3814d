package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

import org.radishthread.routing.LoadReport;

/**
 * Dialect with the {@code Radishthread-*} headers that docs/CALLERS.md and
 * docs/UPSTREAMS.md describe. Upstreams report no load in it.
 */
public final class DefaultHttpDialect implements HttpDialect {

	private static final Set<String> REPLACED_REQUEST_HEADERS = Set.of(lowerCase(RadishthreadHeader.DEADLINE),
			lowerCase(RadishthreadHeader.REQUEST));

	private static final Set<String> WORKSPACE_REQUEST_HEADERS = Set.of(lowerCase(RadishthreadHeader.CALLER_KEY),
			lowerCase(RadishthreadHeader.WORKSPACE));

	private static final long MILLIS_PER_SECOND = 1_000;

	private static String lowerCase(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

	@Override
	public String requestId(HttpFields requestHeaders, String generatedId) {
		return generatedId;
	}

	@Override
	public @Nullable String remainingMillisHeader(HttpFields requestHeaders) {
		return requestHeaders.get(RadishthreadHeader.DEADLINE);
	}

	@Override
	public List<String> callerKeys(HttpFields requestHeaders) {
		return requestHeaders.getValuesList(RadishthreadHeader.CALLER_KEY);
	}

	@Override
	public boolean isWorkspaceRequestHeader(String name) {
		return WORKSPACE_REQUEST_HEADERS.contains(name);
	}

	@Override
	public void addAttemptHeaders(HttpFields.Mutable headers, AttemptDetails attempt) {
		headers.put(RadishthreadHeader.REQUEST, String.valueOf(attempt.requestId()));
		headers.put(RadishthreadHeader.DEADLINE, Math.max(1, attempt.remainingMillis()));
		if (attempt.workspaceName() != null) {
			headers.put(RadishthreadHeader.WORKSPACE, attempt.workspaceName());
		}
	}

	@Override
	public @Nullable String echoedRequestId(HttpFields responseHeaders) {
		return responseHeaders.get(RadishthreadHeader.REQUEST);
	}

	@Override
	public @Nullable LoadReport loadReport(int status, HttpFields responseHeaders) {
		return null;
	}

	@Override
	public boolean hasNotRun(int status, HttpFields responseHeaders) {
		return RequestOutcome.NOT_RUN.wireName().equals(responseHeaders.get(RadishthreadHeader.OUTCOME));
	}

	@Override
	public boolean isForwardable(@Nullable String requestId, int status, HttpFields responseHeaders) {
		return true;
	}

	@Override
	public boolean acceptsCloseDelimitedResponses() {
		return false;
	}

	@Override
	public boolean isRepeatedResponse(@Nullable String requestId, HttpFields embeddedHeaders) {
		return requestId != null && requestId.equals(embeddedHeaders.get(RadishthreadHeader.REQUEST));
	}

	@Override
	public boolean isReplacedRequestHeader(String name) {
		return REPLACED_REQUEST_HEADERS.contains(name);
	}

	@Override
	public boolean isInternalResponseHeader(String name) {
		return name.equals(lowerCase(RadishthreadHeader.REQUEST));
	}

	@Override
	public void setRetryAfter(HttpFields.Mutable headers, long millis) {
		headers.put(HttpHeader.RETRY_AFTER, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

}
