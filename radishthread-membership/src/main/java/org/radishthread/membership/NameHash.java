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

	// A position of the name in a random order. The orders of different numbers are
	// independent of each other.
	static long position(String name, long order) {
		return mix(of(name) ^ Long.rotateLeft(order, 32) ^ (order * 0x9E3779B97F4A7C15L));
	}

	// The finalizer of MurmurHash3 (Appleby, public domain).
	static long mix(long value) {
		long hash = value;
		hash = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
		hash = (hash ^ (hash >>> 33)) * 0xC4CEB9FE1A85EC53L;
		return hash ^ (hash >>> 33);
	}

}
