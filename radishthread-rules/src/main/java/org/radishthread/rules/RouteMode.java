package org.radishthread.rules;

import java.util.Locale;
import java.util.Set;

/**
 * Says how often a request of a route may be sent and how its body travels.
 */
public enum RouteMode {

	/**
	 * The request is idempotent: it may be retried and hedged.
	 */
	REPEATABLE {

		@Override
		public boolean mayRepeat() {
			return true;
		}

		@Override
		public boolean isBodyStreamed() {
			return false;
		}

	},

	/**
	 * The request runs at most once; its body is held in memory before it is sent.
	 */
	ONCE {

		@Override
		public boolean mayRepeat() {
			return false;
		}

		@Override
		public boolean isBodyStreamed() {
			return false;
		}

	},

	/**
	 * The request runs at most once; its body is streamed with back pressure.
	 */
	UPLOAD {

		@Override
		public boolean mayRepeat() {
			return false;
		}

		@Override
		public boolean isBodyStreamed() {
			return true;
		}

	};

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	/**
	 * Returns whether a request may be sent again when it is unknown whether it ran.
	 * @return whether it may repeat
	 */
	public abstract boolean mayRepeat();

	/**
	 * Returns whether the request body is streamed instead of held.
	 * @return whether the body is streamed
	 */
	public abstract boolean isBodyStreamed();

	/**
	 * Returns the word of the rule file for this mode.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the mode of a route that names none, by RFC 9110, section 9.2.1.
	 * @param method the HTTP method
	 * @return {@link #REPEATABLE} for safe methods, {@link #ONCE} for all others
	 */
	public static RouteMode defaultFor(String method) {
		return SAFE_METHODS.contains(method) ? REPEATABLE : ONCE;
	}

}
