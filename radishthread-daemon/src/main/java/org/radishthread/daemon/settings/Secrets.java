package org.radishthread.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import org.jspecify.annotations.Nullable;

/**
 * The tokens by which peers, operators and upstreams authenticate themselves.
 *
 * @param peer the token of instances
 * @param administration the token of operators
 * @param announcement the token of upstreams
 */
public record Secrets(String peer, String administration, String announcement) {

	/**
	 * Compares two tokens in constant time, so that the duration does not reveal how much
	 * of a token is correct.
	 * @param expected the correct token
	 * @param actual the received token, or {@code null} if there was none
	 * @return whether the tokens are equal
	 */
	public static boolean matches(String expected, @Nullable String actual) {
		byte[] actualBytes = (actual != null) ? actual.getBytes(StandardCharsets.UTF_8) : new byte[0];
		return MessageDigest.isEqual(expected.getBytes(StandardCharsets.UTF_8), actualBytes);
	}

	@Override
	public String toString() {
		return "Secrets[hidden]";
	}

}
