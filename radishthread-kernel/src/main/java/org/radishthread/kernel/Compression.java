package org.radishthread.kernel;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compression of bytes in the zlib format (RFC 1950).
 */
public final class Compression {

	private static final int BUFFER_BYTES = 8 * 1024;

	private Compression() {
	}

	/**
	 * Compresses bytes, for the smallest size rather than the shortest time.
	 * @param bytes the bytes
	 * @return the compressed bytes
	 */
	public static byte[] compress(byte[] bytes) {
		return compress(bytes, Deflater.DEFAULT_COMPRESSION);
	}

	/**
	 * Compresses bytes that are sent once, for a short time rather than the smallest
	 * size.
	 * @param bytes the bytes
	 * @return the compressed bytes
	 */
	public static byte[] compressFast(byte[] bytes) {
		return compress(bytes, Deflater.BEST_SPEED);
	}

	private static byte[] compress(byte[] bytes, int level) {
		Deflater deflater = new Deflater(level);
		try {
			deflater.setInput(bytes);
			deflater.finish();
			ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 8 + 64);
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				compressed.write(buffer, 0, deflater.deflate(buffer));
			}
			return compressed.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Restores compressed bytes.
	 * @param compressed the compressed bytes
	 * @param maximumBytes the maximum size of the result, in bytes
	 * @return the bytes
	 * @throws IllegalArgumentException if the compressed bytes are damaged or the result
	 * exceeds the maximum
	 */
	public static byte[] decompress(byte[] compressed, int maximumBytes) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			ByteArrayOutputStream bytes = new ByteArrayOutputStream(Math.min(maximumBytes, compressed.length * 8));
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				Assert.isTrue(count > 0 || inflater.finished(),
						"Compressed bytes end after " + bytes.size() + " bytes of content; more were expected.");
				Assert.isTrue(bytes.size() + count <= maximumBytes,
						"Compressed bytes hold more than the maximum of " + maximumBytes + " bytes.");
				bytes.write(buffer, 0, count);
			}
			return bytes.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new IllegalArgumentException("Compressed bytes are damaged: " + ex.getMessage(), ex);
		}
		finally {
			inflater.end();
		}
	}

}
