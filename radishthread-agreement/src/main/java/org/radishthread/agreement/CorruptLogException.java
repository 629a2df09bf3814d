package org.radishthread.agreement;

/**
 * Thrown when a log file is damaged before its last write, so that acknowledged entries
 * may be missing.
 */
public class CorruptLogException extends AgreementException {

	public CorruptLogException(String fileName, long offset, String reason) {
		super("Log file " + fileName + " is damaged at byte " + offset + " (" + reason
				+ "). Do not repair it: move the data folder away, start the instance with an empty folder"
				+ " and run 'radishthread control replace'.");
	}

}
