package org.radishthread.rules;

import java.util.Locale;
import java.util.Set;

/**
 * Delivery mode of the requests of a route: whether a request may be sent again, and
 * whether its body is buffered or streamed.
 */
public enum RouteMode {

	/**
	 * The request is idempotent, so that it may be retried and hedged. Its body is
	 * buffered before the request is sent.
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
	 * The request runs at most once. Its body is buffered before the request is sent.
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
	 * The request runs at most once. Its body is streamed with back pressure.
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
	 * @return whether the request may be sent again
	 */
	public abstract boolean mayRepeat();

	/**
	 * Returns whether the request body is streamed instead of buffered.
	 * @return whether the body is streamed
	 */
	public abstract boolean isBodyStreamed();

	/**
	 * Returns the name of this mode in rule files.
	 * @return the option that selects this mode
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the mode of a route that sets none. Only GET, HEAD and OPTIONS, which RFC
	 * 9110, section 9.2.1, defines as safe, are taken to be idempotent.
	 * @param method the HTTP method
	 * @return {@link #REPEATABLE} for these methods, {@link #ONCE} for all others
	 */
	public static RouteMode defaultFor(String method) {
		return SAFE_METHODS.contains(method) ? REPEATABLE : ONCE;
	}

}
