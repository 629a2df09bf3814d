package org.radishthread.rules;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.regex.Pattern;

import org.radishthread.kernel.Sha256;

/**
 * The digest that stands for a caller's key in rule files, so that no key is stored or
 * shown there: the first 128 bits of its SHA-256 digest, in hexadecimal digits.
 */
public final class KeyDigest {

	private static final int DIGEST_BYTES = 16;

	private static final Pattern FORMAT = Pattern.compile("[0-9a-f]{" + 2 * DIGEST_BYTES + "}");

	private KeyDigest() {
	}

	/**
	 * Computes the digest of a key.
	 * @param key the key as a caller sends it
	 * @return the digest
	 */
	public static String of(String key) {
		return HexFormat.of().formatHex(Arrays.copyOf(Sha256.of(key), DIGEST_BYTES));
	}

	static boolean isValid(String text) {
		return FORMAT.matcher(text).matches();
	}

}
