package org.radishthread.membership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Shortens names to 32 bits for frequent messages.
 */
final class ShortName {

	private ShortName() {
	}

	static int of(String name) {
		CRC32C checksum = new CRC32C();
		checksum.update(name.getBytes(StandardCharsets.UTF_8));
		return (int) checksum.getValue();
	}

}
