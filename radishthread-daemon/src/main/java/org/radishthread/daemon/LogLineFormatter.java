package org.radishthread.daemon;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Formats a log record as one line that starts with time, level and logger, followed by
 * the stack trace if there is one. If lines were dropped since the last record, a line
 * with their number precedes it. The log manager's pattern formatters are not used,
 * because they load locale data of the runtime, which would delay the start.
 */
final class LogLineFormatter extends ExtFormatter {

	private static final int MILLISECOND_DIGITS = 3;

	private static final DateTimeFormatter timeFormatter = new DateTimeFormatterBuilder()
		.appendInstant(MILLISECOND_DIGITS)
		.toFormatter();

	private final LogRateLimiter rateLimiter;

	LogLineFormatter(LogRateLimiter rateLimiter) {
		this.rateLimiter = rateLimiter;
	}

	@Override
	public String format(ExtLogRecord record) {
		StringBuilder line = new StringBuilder(256);
		long droppedLines = this.rateLimiter.getAndResetDropped();
		if (droppedLines > 0) {
			appendPrefix(line, record).append("LogOutput event=log-lines-dropped count=")
				.append(droppedLines)
				.append('\n');
		}
		appendPrefix(line, record);
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

	private static StringBuilder appendPrefix(StringBuilder line, ExtLogRecord record) {
		line.append("time=");
		timeFormatter.formatTo(Instant.ofEpochMilli(record.getMillis()), line);
		return line.append(" level=").append(record.getLevel()).append(" logger=");
	}

}
