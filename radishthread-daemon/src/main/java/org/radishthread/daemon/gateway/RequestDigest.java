package org.radishthread.daemon.gateway;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Sha256;

/**
 * Computes what equal requests have in common, as far as an upstream can tell: the same
 * method, host, path, credentials, workspace and body have the same digest, at every
 * instance and in every repetition. The address of the caller is not sent to upstreams
 * and does not count.
 */
final class RequestDigest {

	private static final int DIGEST_BYTES = 16;

	// No part contains it, so parts cannot be shifted into each other.
	private static final char SEPARATOR = '\n';

	private static final List<HttpHeader> CREDENTIALS = List.of(HttpHeader.AUTHORIZATION, HttpHeader.COOKIE);

	private RequestDigest() {
	}

	/**
	 * Computes the digest of a request.
	 * @param method the HTTP method
	 * @param host the host, without a port
	 * @param pathAndQuery the path and the query as sent
	 * @param headers the headers, of which the credentials count
	 * @param workspaceName the name of the workspace of the caller, or {@code null} for
	 * none
	 * @param body the complete body, or {@code null} for none
	 * @return the digest, in hexadecimal digits
	 */
	static String of(String method, String host, String pathAndQuery, HttpFields headers,
			@Nullable String workspaceName, byte @Nullable [] body) {
		return compute("body", method, host, pathAndQuery, headers, workspaceName, (body != null) ? body : new byte[0]);
	}

	/**
	 * Computes the digest of a request whose body is streamed. The body is not known
	 * before the request is sent, so that its length stands for it.
	 * @param method the HTTP method
	 * @param host the host, without a port
	 * @param pathAndQuery the path and the query as sent
	 * @param headers the headers, of which the credentials count
	 * @param workspaceName the name of the workspace of the caller, or {@code null} for
	 * none
	 * @param length the length of the body in bytes, or -1 if unknown
	 * @return the digest, in hexadecimal digits
	 */
	static String ofStreamed(String method, String host, String pathAndQuery, HttpFields headers,
			@Nullable String workspaceName, long length) {
		return compute("length-" + length, method, host, pathAndQuery, headers, workspaceName, new byte[0]);
	}

	private static String compute(String form, String method, String host, String pathAndQuery, HttpFields headers,
			@Nullable String workspaceName, byte[] body) {
		StringBuilder head = new StringBuilder();
		for (String part : List.of(form, method, host, pathAndQuery)) {
			head.append(part).append(SEPARATOR);
		}
		for (HttpHeader credential : CREDENTIALS) {
			head.append(headers.getValuesList(credential)).append(SEPARATOR);
		}
		// Nothing is added without a workspace, so that earlier versions compute the
		// same.
		if (workspaceName != null) {
			head.append(workspaceName).append(SEPARATOR);
		}
		return HexFormat.of().formatHex(Arrays.copyOf(Sha256.of(head.toString(), body), DIGEST_BYTES));
	}

}
