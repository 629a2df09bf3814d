package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Copies end-to-end header fields between caller and upstream. Leaves out hop-by-hop
 * fields (RFC 9110, section 7.6.1), {@code Content-Length}, which Jetty adds, and
 * {@code Expect}, which Jetty handles on each connection.
 */
final class EndToEndHeaders {

	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private static final String CONTENT_LENGTH = "content-length";

	private EndToEndHeaders() {
	}

	static void copyRequestHeaders(HttpDialect dialect, boolean includeWorkspaceHeaders, HttpFields source,
			HttpFields.Mutable target) {
		copy(source, target, (name) -> dialect.isReplacedRequestHeader(name)
				|| (!includeWorkspaceHeaders && dialect.isWorkspaceRequestHeader(name)));
	}

	static void copyResponseHeaders(HttpDialect dialect, HttpFields source, HttpFields.Mutable target) {
		copy(source, target, dialect::isInternalResponseHeader);
	}

	private static void copy(HttpFields source, HttpFields.Mutable target, Predicate<String> isExcluded) {
		Set<String> connectionOptions = new HashSet<>();
		source.getCSV(HttpHeader.CONNECTION, false)
			.forEach((name) -> connectionOptions.add(name.toLowerCase(Locale.ROOT)));
		for (HttpField field : source) {
			String name = field.getLowerCaseName();
			if (!HOP_BY_HOP_HEADERS.contains(name) && !name.equals(CONTENT_LENGTH) && !isExcluded.test(name)
					&& !connectionOptions.contains(name)) {
				target.add(copy(field));
			}
		}
	}

	// A field from a parser refers to that parser, and thereby to a connection that may
	// be closed.
	private static HttpField copy(HttpField field) {
		return new HttpField(field.getHeader(), field.getName(), field.getValue());
	}

}
