package org.radishthread.kernel;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Computes SHA-256 digests.
 */
public final class Sha256 {

	private Sha256() {
	}

	/**
	 * Computes the SHA-256 digest of a text in UTF-8.
	 * @param text the text
	 * @return the digest, of 32 bytes
	 */
	public static byte[] of(String text) {
		return newDigest().digest(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Computes the SHA-256 digest of a text in UTF-8 that is followed by bytes.
	 * @param text the text
	 * @param bytes the bytes
	 * @return the digest, of 32 bytes
	 */
	public static byte[] of(String text, byte[] bytes) {
		MessageDigest digest = newDigest();
		digest.update(text.getBytes(StandardCharsets.UTF_8));
		return digest.digest(bytes);
	}

	private static MessageDigest newDigest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("The Java runtime does not provide SHA-256.", ex);
		}
	}

}
