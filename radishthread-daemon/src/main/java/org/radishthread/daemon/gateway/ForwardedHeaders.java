package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Copies the headers that are meant for the other end (RFC 9110, section 7.6.1).
 */
final class ForwardedHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private static final String CONTENT_LENGTH = "content-length";

	private ForwardedHeaders() {
	}

	static void copyRequest(HttpDialect dialect, HttpFields source, HttpFields.Mutable target) {
		copy(source, target, dialect::isReplacedRequestHeader);
	}

	static void copyAnswer(HttpDialect dialect, HttpFields source, HttpFields.Mutable target) {
		copy(source, target, dialect::isInternalResponseHeader);
	}

	private static void copy(HttpFields source, HttpFields.Mutable target, Predicate<String> excluded) {
		Set<String> named = new HashSet<>();
		source.getCSV(HttpHeader.CONNECTION, false).forEach((name) -> named.add(name.toLowerCase(Locale.ROOT)));
		for (HttpField field : source) {
			String name = field.getLowerCaseName();
			if (!HOP_BY_HOP.contains(name) && !name.equals(CONTENT_LENGTH) && !excluded.test(name)
					&& !named.contains(name)) {
				target.add(field);
			}
		}
	}

}
