package org.radishthread.membership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Hashes names to 32 bits, which keeps frequent messages short.
 */
final class NameHash {

	private NameHash() {
	}

	static int of(String name) {
		CRC32C checksum = new CRC32C();
		checksum.update(name.getBytes(StandardCharsets.UTF_8));
		return (int) checksum.getValue();
	}

}
