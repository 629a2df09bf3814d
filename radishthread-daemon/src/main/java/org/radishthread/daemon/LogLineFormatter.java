package org.radishthread.daemon;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Renders a log record as one line that starts with time, level and logger. Pattern
 * formatters of the library load the locale data of the runtime, which takes long at the
 * start of an instance.
 */
final class LogLineFormatter extends ExtFormatter {

	private static final int MILLISECOND_DIGITS = 3;

	private static final DateTimeFormatter time = new DateTimeFormatterBuilder().appendInstant(MILLISECOND_DIGITS)
		.toFormatter();

	private final LogRateLimiter budget;

	LogLineFormatter(LogRateLimiter budget) {
		this.budget = budget;
	}

	@Override
	public String format(ExtLogRecord record) {
		StringBuilder line = new StringBuilder(256);
		long dropped = this.budget.takeDropped();
		if (dropped > 0) {
			startLine(line, record).append("LogOutput event=log-lines-dropped count=").append(dropped).append('\n');
		}
		startLine(line, record);
		String name = record.getLoggerName();
		line.append(name, name.lastIndexOf('.') + 1, name.length());
		line.append(' ').append(record.getFormattedMessage()).append('\n');
		if (record.getThrown() != null) {
			StringWriter trace = new StringWriter();
			record.getThrown().printStackTrace(new PrintWriter(trace));
			line.append(trace);
		}
		return line.toString();
	}

	private static StringBuilder startLine(StringBuilder line, ExtLogRecord record) {
		line.append("time=");
		time.formatTo(Instant.ofEpochMilli(record.getMillis()), line);
		return line.append(" level=").append(record.getLevel()).append(" logger=");
	}

}
