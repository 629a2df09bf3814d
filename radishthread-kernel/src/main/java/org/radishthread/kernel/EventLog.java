package org.radishthread.kernel;

import org.jboss.logging.Logger;
import org.jboss.logging.Logger.Level;
import org.jspecify.annotations.Nullable;

/**
 * Logs events, each as one line of {@code key=value} pairs. It is safe for use by several
 * threads.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the event log of a class.
	 * @param type the class whose name is the name of the logger
	 * @return the event log
	 */
	public static EventLog of(Class<?> type) {
		return new EventLog(Logger.getLogger(type));
	}

	public Event information(String event) {
		return new Event(this.logger, Level.INFO, event, null);
	}

	public Event warning(String event) {
		return new Event(this.logger, Level.WARN, event, null);
	}

	public Event debug(String event) {
		return new Event(this.logger, Level.DEBUG, event, null);
	}

	/**
	 * Creates a warning with an exception. The stack trace is logged only if the debug
	 * level is enabled.
	 * @param event the name of the event
	 * @param cause the exception, of which the line contains type and message
	 * @return the event, to be written by {@link Event#write()}
	 */
	public Event failure(String event, Throwable cause) {
		return new Event(this.logger, Level.WARN, event, cause).with("cause", String.valueOf(cause));
	}

	/**
	 * An event under construction, which {@link #write()} logs.
	 */
	public static final class Event {

		// Values may come from callers, and many lines may wait to be written.
		private static final int MAXIMUM_VALUE_CHARACTERS = 1_024;

		private static final String CUT = "...";

		private final Logger logger;

		private final Level level;

		private final @Nullable Throwable cause;

		private final @Nullable StringBuilder line;

		private Event(Logger logger, Level level, String event, @Nullable Throwable cause) {
			this.logger = logger;
			this.level = level;
			this.cause = cause;
			this.line = logger.isEnabled(level) ? new StringBuilder(160).append("event=").append(event) : null;
		}

		/**
		 * Adds a {@code key=value} pair. Values that are empty or contain spaces, control
		 * characters, quotes or equals signs are quoted; backslashes, quotes and line
		 * breaks in them are escaped. A value of more than 1,024 characters is cut and
		 * ends with three dots.
		 * @param key the key
		 * @param value the value, or {@code null}
		 * @return this event
		 */
		public Event with(String key, @Nullable Object value) {
			if (this.line != null) {
				this.line.append(' ').append(key).append('=').append(quoteIfNeeded(cut(String.valueOf(value))));
			}
			return this;
		}

		/**
		 * Writes the line if the level of the event is enabled.
		 */
		public void write() {
			if (this.line != null) {
				this.logger.log(this.level, this.line, this.logger.isDebugEnabled() ? this.cause : null);
			}
		}

		static String cut(String value) {
			return (value.length() > MAXIMUM_VALUE_CHARACTERS) ? value.substring(0, MAXIMUM_VALUE_CHARACTERS) + CUT
					: value;
		}

		private static String quoteIfNeeded(String value) {
			if (!value.isEmpty() && value.chars().noneMatch(Event::requiresQuotes)) {
				return value;
			}
			String escaped = value.replace("\\", "\\\\")
				.replace("\"", "\\\"")
				.replace("\n", "\\n")
				.replace("\r", "\\r");
			return '"' + escaped + '"';
		}

		private static boolean requiresQuotes(int character) {
			return character <= ' ' || character == '"' || character == '=' || character == 0x7f;
		}

	}

}
