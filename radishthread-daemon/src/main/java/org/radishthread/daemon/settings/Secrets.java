package org.radishthread.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import org.jspecify.annotations.Nullable;

/**
 * The tokens that tell peers, operators and upstreams from strangers.
 *
 * @param peer the token of instances
 * @param administration the token of operators
 * @param announcement the token of upstreams
 */
public record Secrets(String peer, String administration, String announcement) {

	/**
	 * Compares tokens in a time that does not depend on where they differ.
	 * @param expected the right token
	 * @param actual the token given, if any
	 * @return whether they are equal
	 */
	public static boolean matches(String expected, @Nullable String actual) {
		byte[] given = (actual != null) ? actual.getBytes(StandardCharsets.UTF_8) : new byte[0];
		return MessageDigest.isEqual(expected.getBytes(StandardCharsets.UTF_8), given);
	}

	@Override
	public String toString() {
		return "Secrets[hidden]";
	}

}
