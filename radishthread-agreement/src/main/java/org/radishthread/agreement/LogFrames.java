package org.radishthread.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and scans frames of a log file: magic number, length, checksum of the payload
 * and checksum of these three, then the payload.
 *
 * @param payloads the payloads of the valid frames
 * @param validBytes the number of bytes up to the end of the last valid frame
 */
record LogFrames(List<ByteBuffer> payloads, int validBytes) {

	static final int HEADER_BYTES = 16;

	private static final int CHECKED_HEADER_BYTES = 12;

	private static final int MAGIC = 0x52544c46;

	static ByteBuffer encode(byte[] payload) {
		ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
		buffer.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload, 0, payload.length));
		buffer.putInt(checksum(buffer.array(), 0, CHECKED_HEADER_BYTES)).put(payload);
		return buffer.flip();
	}

	/**
	 * Scans a file. A frame that is incomplete or damaged is a torn last write, unless a
	 * valid frame stands behind it.
	 * @throws CorruptLogException if a valid frame stands behind a damaged one
	 */
	static LogFrames scan(String file, byte[] bytes) {
		List<ByteBuffer> payloads = new ArrayList<>();
		int offset = 0;
		while (isValidAt(bytes, offset)) {
			int length = ByteBuffer.wrap(bytes).getInt(offset + 4);
			payloads.add(ByteBuffer.wrap(bytes, offset + HEADER_BYTES, length).slice());
			offset += HEADER_BYTES + length;
		}
		for (int later = offset + 1; later <= bytes.length - HEADER_BYTES; later++) {
			if (isValidAt(bytes, later)) {
				throw new CorruptLogException(file, offset, "a valid record stands behind it at byte " + later);
			}
		}
		return new LogFrames(payloads, offset);
	}

	private static boolean isValidAt(byte[] bytes, int offset) {
		if (bytes.length - offset < HEADER_BYTES) {
			return false;
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		if (buffer.getInt(offset) != MAGIC
				|| buffer.getInt(offset + 12) != checksum(bytes, offset, CHECKED_HEADER_BYTES)) {
			return false;
		}
		int length = buffer.getInt(offset + 4);
		return length >= 0 && length <= bytes.length - offset - HEADER_BYTES
				&& buffer.getInt(offset + 8) == checksum(bytes, offset + HEADER_BYTES, length);
	}

	private static int checksum(byte[] bytes, int offset, int length) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes, offset, length);
		return (int) checksum.getValue();
	}

}
