package org.radishthread.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sends log lines to standard output from a thread of their own.
 */
final class LogOutput {

	private static final String LINE = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%c{1} %m%n";

	private static final int QUEUE_LENGTH = 65_536;

	private static final AsyncHandler output = new AsyncHandler(QUEUE_LENGTH);

	private LogOutput() {
	}

	static void configure() {
		ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(LINE));
		console.setAutoFlush(true);
		console.setLevel(Level.ALL);
		output.addHandler(console);
		output.setLevel(Level.ALL);
		output.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		root.addHandler(output);
		root.setLevel(Level.INFO);
		Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
		Logger.getLogger("io.netty").setLevel(Level.WARNING);
	}

	static void flush() {
		output.close();
	}

}
