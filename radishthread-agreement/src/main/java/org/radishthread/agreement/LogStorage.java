package org.radishthread.agreement;

import java.util.List;

import org.radishthread.protocol.LogFrame;

/**
 * Stores the log of one replica durably. Each write is on disk when the method returns.
 */
public interface LogStorage {

	/**
	 * Reads the stored log. An incomplete last write is discarded.
	 * @return the stored log, or {@link StoredLog#EMPTY} if there is none
	 * @throws CorruptLogException if the log is damaged before its last write
	 */
	StoredLog load();

	/**
	 * Appends frames in one synchronous write.
	 * @param frames the frames, in order
	 * @throws AgreementException if the write fails; the replica must then stop
	 */
	void append(List<LogFrame> frames);

	/**
	 * Replaces the entire content atomically.
	 * @param content the new content
	 * @throws AgreementException if the write fails; the replica must then stop
	 */
	void replace(StoredLog content);

}
