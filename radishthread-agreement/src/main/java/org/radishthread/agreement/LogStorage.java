package org.radishthread.agreement;

import java.util.List;

import org.radishthread.protocol.LogFrame;

/**
 * Keeps the log of one replica. Each write is durable when the method returns.
 */
public interface LogStorage {

	/**
	 * Reads what was written before.
	 * @return the stored log, {@link StoredLog#EMPTY} if there is none
	 * @throws CorruptLogException if anything but a torn last write is damaged
	 */
	StoredLog load();

	/**
	 * Adds frames in one synced write.
	 * @param frames the frames, in order
	 * @throws AgreementException if the write fails; the replica must stop
	 */
	void append(List<LogFrame> frames);

	/**
	 * Replaces the whole content in one atomic step.
	 * @param content the new content
	 * @throws AgreementException if the write fails; the replica must stop
	 */
	void replace(StoredLog content);

}
