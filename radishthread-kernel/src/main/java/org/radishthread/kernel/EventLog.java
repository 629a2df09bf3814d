package org.radishthread.kernel;

import org.jboss.logging.Logger;
import org.jboss.logging.Logger.Level;
import org.jspecify.annotations.Nullable;

/**
 * Writes one line of {@code key=value} pairs for each event.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the event log of a class.
	 * @param type the class whose name is the category
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

	public Event failure(String event, Throwable cause) {
		return new Event(this.logger, Level.WARN, event, cause).with("cause", String.valueOf(cause));
	}

	/**
	 * One event under construction; {@link #write()} ends it.
	 */
	public static final class Event {

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
		 * Adds a pair; values with white space, quotes or line ends are quoted and
		 * escaped.
		 * @param key the key
		 * @param value the value
		 * @return this event
		 */
		public Event with(String key, @Nullable Object value) {
			if (this.line != null) {
				this.line.append(' ').append(key).append('=').append(quoteIfNeeded(String.valueOf(value)));
			}
			return this;
		}

		/**
		 * Writes the line if the level is enabled.
		 */
		public void write() {
			if (this.line != null) {
				this.logger.log(this.level, this.line, this.logger.isDebugEnabled() ? this.cause : null);
			}
		}

		private static String quoteIfNeeded(String value) {
			if (!value.isEmpty() && value.chars().noneMatch(Event::needsQuotes)) {
				return value;
			}
			String escaped = value.replace("\\", "\\\\")
				.replace("\"", "\\\"")
				.replace("\n", "\\n")
				.replace("\r", "\\r");
			return '"' + escaped + '"';
		}

		private static boolean needsQuotes(int character) {
			return character <= ' ' || character == '"' || character == '=' || character == 0x7f;
		}

	}

}
