package org.radishthread.daemon.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Bytes of a body that arrive in pieces, in memory that exceeds them by less than one
 * block, so that a {@link BufferBudget} which counts the bytes counts the memory. Not
 * safe for concurrent use.
 */
public final class BodyBuffer {

	/**
	 * The size of the blocks that collect small pieces, in bytes.
	 */
	static final int BLOCK_BYTES = 4 * 1_024;

	private final List<byte[]> fullBlocks = new ArrayList<>();

	private byte[] lastBlock;

	private int lastBlockSize;

	private int size;

	/**
	 * Creates a buffer without reserving memory.
	 */
	public BodyBuffer() {
		this(0);
	}

	/**
	 * Creates a buffer that takes a number of bytes without being extended.
	 * @param expectedBytes the number of bytes, for which memory is taken at once
	 */
	public BodyBuffer(int expectedBytes) {
		Assert.isTrue(expectedBytes >= 0, "Expected bytes " + expectedBytes + " must not be negative.");
		this.lastBlock = new byte[expectedBytes];
	}

	/**
	 * Adds bytes.
	 * @param bytes the bytes, which are read
	 */
	public void append(ByteBuffer bytes) {
		while (bytes.hasRemaining()) {
			if (this.lastBlockSize == this.lastBlock.length) {
				addBlock(Math.max(BLOCK_BYTES, bytes.remaining()));
			}
			int length = Math.min(bytes.remaining(), this.lastBlock.length - this.lastBlockSize);
			bytes.get(this.lastBlock, this.lastBlockSize, length);
			this.lastBlockSize += length;
			this.size += length;
		}
	}

	private void addBlock(int bytes) {
		if (this.lastBlockSize > 0) {
			this.fullBlocks.add(this.lastBlock);
		}
		this.lastBlock = new byte[bytes];
		this.lastBlockSize = 0;
	}

	/**
	 * Returns how many bytes were added.
	 * @return the number of bytes
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns all bytes. The buffer keeps the array in place of its blocks.
	 * @return the bytes, which must not be changed
	 */
	public byte[] toByteArray() {
		if (this.fullBlocks.isEmpty() && this.lastBlockSize == this.lastBlock.length) {
			return this.lastBlock;
		}
		ByteBuffer whole = ByteBuffer.allocate(this.size);
		this.fullBlocks.forEach(whole::put);
		whole.put(this.lastBlock, 0, this.lastBlockSize);
		this.fullBlocks.clear();
		this.lastBlock = whole.array();
		this.lastBlockSize = this.size;
		return this.lastBlock;
	}

	// The memory of the blocks.
	int allocatedBytes() {
		return this.lastBlock.length + this.fullBlocks.stream().mapToInt((block) -> block.length).sum();
	}

}
