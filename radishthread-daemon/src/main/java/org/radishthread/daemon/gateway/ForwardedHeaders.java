package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Copies the headers that are meant for the other end (RFC 9110, section 7.6.1).
 */
final class ForwardedHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private static final Set<String> OWN_REQUEST_HEADERS = Set.of("content-length", lower(RadishthreadHeader.DEADLINE),
			lower(RadishthreadHeader.REQUEST), lower(RadishthreadHeader.FORWARDED), lower(RadishthreadHeader.CALLER));

	private static final Set<String> OWN_ANSWER_HEADERS = Set.of("content-length", lower(RadishthreadHeader.REQUEST));

	private ForwardedHeaders() {
	}

	private static String lower(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

	static void copyRequest(HttpFields source, HttpFields.Mutable target) {
		copy(source, target, OWN_REQUEST_HEADERS);
	}

	static void copyAnswer(HttpFields source, HttpFields.Mutable target) {
		copy(source, target, OWN_ANSWER_HEADERS);
	}

	private static void copy(HttpFields source, HttpFields.Mutable target, Set<String> excluded) {
		Set<String> named = new HashSet<>();
		source.getCSV(HttpHeader.CONNECTION, false).forEach((name) -> named.add(name.toLowerCase(Locale.ROOT)));
		for (HttpField field : source) {
			String name = field.getLowerCaseName();
			if (!HOP_BY_HOP.contains(name) && !excluded.contains(name) && !named.contains(name)) {
				target.add(field);
			}
		}
	}

}
