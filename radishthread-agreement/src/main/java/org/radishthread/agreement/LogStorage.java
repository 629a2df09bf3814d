package org.radishthread.agreement;

import java.util.List;

import org.radishthread.protocol.LogFrame;

/**
 * Stores the log of one replica durably. Each write is on disk when the method returns.
 */
public interface LogStorage {

	/**
	 * Opens the log and reads it, also again after a failed write. An incomplete last
	 * write is discarded. What is returned is on disk, unless a sync failed before.
	 * @return the stored log, or {@link StoredLog#EMPTY} if there is none
	 * @throws CorruptLogException if the log is damaged before its last write
	 * @throws AgreementException if the log cannot be read or synced
	 */
	StoredLog load();

	/**
	 * Appends frames in one synchronous write.
	 * @param frames the frames, in order
	 * @throws AgreementException if the write fails; the log must then be loaded again
	 */
	void append(List<LogFrame> frames);

	/**
	 * Replaces the entire content atomically.
	 * @param content the new content
	 * @throws AgreementException if the write fails; the log must then be loaded again
	 */
	void replace(StoredLog content);

}
