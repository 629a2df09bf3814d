package org.radishthread.daemon.gateway;

import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

import org.radishthread.routing.LoadReport;

/**
 * The dialect of docs/CALLERS.md and docs/UPSTREAMS.md.
 */
public final class DefaultHttpDialect implements HttpDialect {

	private static final Set<String> REPLACED = Set.of(lower(RadishthreadHeader.DEADLINE),
			lower(RadishthreadHeader.REQUEST));

	private static final long MILLIS_PER_SECOND = 1_000;

	private static String lower(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

	@Override
	public String requestId(HttpFields request, String proposed) {
		return proposed;
	}

	@Override
	public @Nullable String remainingMillisHeader(HttpFields request) {
		return request.get(RadishthreadHeader.DEADLINE);
	}

	@Override
	public void addAttemptHeaders(HttpFields.Mutable headers, AttemptDetails attempt) {
		headers.put(RadishthreadHeader.REQUEST, String.valueOf(attempt.requestId()));
		headers.put(RadishthreadHeader.DEADLINE, Math.max(1, attempt.remainingMillis()));
	}

	@Override
	public @Nullable String echoedRequestId(HttpFields answer) {
		return answer.get(RadishthreadHeader.REQUEST);
	}

	@Override
	public @Nullable LoadReport loadReport(HttpFields answer) {
		return null;
	}

	@Override
	public boolean isNotRun(int status, HttpFields answer) {
		return RequestOutcome.NOT_RUN.word().equals(answer.get(RadishthreadHeader.OUTCOME));
	}

	@Override
	public boolean isForwardable(@Nullable String requestId, int status, HttpFields answer) {
		return true;
	}

	@Override
	public boolean acceptsCloseDelimitedResponses() {
		return false;
	}

	@Override
	public boolean isReplacedRequestHeader(String name) {
		return REPLACED.contains(name);
	}

	@Override
	public boolean isInternalResponseHeader(String name) {
		return name.equals(lower(RadishthreadHeader.REQUEST));
	}

	@Override
	public void setRetryAfter(HttpFields.Mutable headers, long millis) {
		headers.put(HttpHeader.RETRY_AFTER, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

}
