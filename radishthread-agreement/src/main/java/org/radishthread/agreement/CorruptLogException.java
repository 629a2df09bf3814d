package org.radishthread.agreement;

/**
 * Signals that a log file is damaged before its end, so that accepted entries may be
 * missing.
 */
public class CorruptLogException extends AgreementException {

	public CorruptLogException(String file, long offset, String reason) {
		super("Log file " + file + " is damaged at byte " + offset + " (" + reason
				+ "). Do not repair it: move the data folder away, start the instance with an empty one,"
				+ " and run 'radishthread control replace'.");
	}

}
