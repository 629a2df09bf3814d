package org.radishthread.daemon;

import java.lang.Thread.UncaughtExceptionHandler;
import java.util.function.IntConsumer;

import org.radishthread.kernel.EventLog;

/**
 * Ends the process when a thread ends by an exception. The service of that thread would
 * be missing while the process goes on; a process that has ended is started again by the
 * platform. Safe for use by several threads.
 */
final class FatalErrorHandler implements UncaughtExceptionHandler {

	private static final EventLog eventLog = EventLog.of(FatalErrorHandler.class);

	private final int exitCode;

	private final IntConsumer processEnd;

	/**
	 * Creates a handler.
	 * @param exitCode the exit code of the process
	 * @param processEnd ends the process with an exit code, without running shutdown
	 * hooks, which may need the thread that has ended
	 */
	FatalErrorHandler(int exitCode, IntConsumer processEnd) {
		this.exitCode = exitCode;
		this.processEnd = processEnd;
	}

	@Override
	public void uncaughtException(Thread thread, Throwable failure) {
		try {
			eventLog.failure("process-ended-by-error", failure)
				.with("thread", thread.getName())
				.with("exit-code", this.exitCode)
				.write();
			LogOutput.close();
		}
		finally {
			// The log may be what fails, for example for lack of memory.
			this.processEnd.accept(this.exitCode);
		}
	}

}
