package org.radishthread.daemon.gateway;

import java.util.Arrays;
import java.util.HexFormat;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Sha256;

/**
 * Computes what equal requests have in common: the same method, host, path, caller and
 * body have the same digest, at every instance and in every repetition.
 */
final class RequestDigest {

	private static final int DIGEST_BYTES = 16;

	// No part contains it, so parts cannot be shifted into each other.
	private static final char SEPARATOR = '\n';

	private RequestDigest() {
	}

	/**
	 * Computes the digest of a request.
	 * @param method the HTTP method
	 * @param host the host, without a port
	 * @param pathAndQuery the path and the query as sent
	 * @param caller the name of the caller
	 * @param body the complete body, or {@code null} for none
	 * @return the digest, in hexadecimal digits
	 */
	static String of(String method, String host, String pathAndQuery, String caller, byte @Nullable [] body) {
		return compute("body", method, host, pathAndQuery, caller, (body != null) ? body : new byte[0]);
	}

	/**
	 * Computes the digest of a request whose body is streamed. The body is not known
	 * before the request is sent, so that its length stands for it.
	 * @param method the HTTP method
	 * @param host the host, without a port
	 * @param pathAndQuery the path and the query as sent
	 * @param caller the name of the caller
	 * @param length the length of the body in bytes, or -1 if unknown
	 * @return the digest, in hexadecimal digits
	 */
	static String ofStreamed(String method, String host, String pathAndQuery, String caller, long length) {
		return compute("length-" + length, method, host, pathAndQuery, caller, new byte[0]);
	}

	private static String compute(String form, String method, String host, String pathAndQuery, String caller,
			byte[] body) {
		String head = form + SEPARATOR + method + SEPARATOR + host + SEPARATOR + pathAndQuery + SEPARATOR + caller
				+ SEPARATOR;
		return HexFormat.of().formatHex(Arrays.copyOf(Sha256.of(head, body), DIGEST_BYTES));
	}

}
