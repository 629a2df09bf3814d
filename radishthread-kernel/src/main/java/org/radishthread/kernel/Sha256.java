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
	 * Computes SHA-256 over the UTF-8 bytes of a text.
	 * @param text the text
	 * @return 32 bytes
	 */
	public static byte[] of(String text) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 must be part of the platform.", ex);
		}
	}

}
