package org.radishthread.daemon;

import java.util.logging.Level;

import org.jboss.logmanager.ConfiguratorFactory;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.LogContextConfigurator;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures the log manager to write log lines to standard output on a separate thread.
 * The log manager loads this class as a service before the first line is logged, instead
 * of its default configuration.
 */
public final class LogOutput implements ConfiguratorFactory {

	// The lowest number wins; the log manager's default configuration has 100.
	private static final int PRIORITY = 1;

	private static final int QUEUE_CAPACITY = 65_536;

	// Allows about three lines for each of several hundred requests per second.
	private static final int MAXIMUM_LINES_PER_SECOND = 2_000;

	private static final AsyncHandler asyncHandler = new AsyncHandler(QUEUE_CAPACITY);

	@Override
	public LogContextConfigurator create() {
		return (context, configuration) -> configure(context);
	}

	@Override
	public int priority() {
		return PRIORITY;
	}

	private static void configure(LogContext context) {
		LogRateLimiter rateLimiter = new LogRateLimiter(MAXIMUM_LINES_PER_SECOND);
		ConsoleHandler consoleHandler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT,
				new LogLineFormatter(rateLimiter));
		consoleHandler.setAutoFlush(true);
		consoleHandler.setLevel(Level.ALL);
		asyncHandler.addHandler(consoleHandler);
		asyncHandler.setLevel(Level.ALL);
		asyncHandler.setFilter((record) -> rateLimiter.tryAcquire(record.getMillis()));
		asyncHandler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
		Logger rootLogger = context.getLogger("");
		rootLogger.addHandler(asyncHandler);
		rootLogger.setLevel(Level.INFO);
		context.getLogger("org.eclipse.jetty").setLevel(org.jboss.logmanager.Level.WARN);
		context.getLogger("io.netty").setLevel(org.jboss.logmanager.Level.WARN);
	}

	static void close() {
		asyncHandler.close();
	}

}
