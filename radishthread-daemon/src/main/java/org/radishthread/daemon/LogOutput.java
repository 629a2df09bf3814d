package org.radishthread.daemon;

import java.util.logging.Level;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.LogContextConfigurator;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sends log lines to standard output from a thread of their own. The log manager finds it
 * as a service and calls it before the first line, in place of its own configuration.
 */
public final class LogOutput implements ConfiguratorFactory {

	// The log manager's own configuration has 100; the lowest number is taken.
	private static final int PRIORITY = 1;

	private static final int QUEUE_LENGTH = 65_536;

	// Some three lines for each of several hundred requests a second.
	private static final int LINES_PER_SECOND = 2_000;

	private static final AsyncHandler output = new AsyncHandler(QUEUE_LENGTH);

	@Override
	public LogContextConfigurator create() {
		return (context, configuration) -> configure(context);
	}

	@Override
	public int priority() {
		return PRIORITY;
	}

	private static void configure(LogContext context) {
		LogRateLimiter budget = new LogRateLimiter(LINES_PER_SECOND);
		ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new LogLineFormatter(budget));
		console.setAutoFlush(true);
		console.setLevel(Level.ALL);
		output.addHandler(console);
		output.setLevel(Level.ALL);
		output.setFilter((record) -> budget.tryTake(record.getMillis()));
		output.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
		Logger root = context.getLogger("");
		root.addHandler(output);
		root.setLevel(Level.INFO);
		context.getLogger("org.eclipse.jetty").setLevel(org.jboss.logmanager.Level.WARN);
		context.getLogger("io.netty").setLevel(org.jboss.logmanager.Level.WARN);
	}

	static void flush() {
		output.close();
	}

}
