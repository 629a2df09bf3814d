package org.radishthread.routing;

import org.radishthread.rules.RouteMode;

/**
 * What is known of an attempt that brought no whole answer.
 */
public enum AttemptOutcome {

	/**
	 * Not a byte of the request left this instance.
	 */
	NOT_SENT {

		@Override
		public boolean isNotRun() {
			return true;
		}

	},

	/**
	 * The upstream said that it did not run the request.
	 */
	REFUSED {

		@Override
		public boolean isNotRun() {
			return true;
		}

	},

	/**
	 * The request was sent in part or whole, and no whole answer came.
	 */
	BROKEN {

		@Override
		public boolean isNotRun() {
			return false;
		}

	};

	/**
	 * Returns whether the request certainly did not run.
	 * @return whether a caller may be told so
	 */
	public abstract boolean isNotRun();

	/**
	 * Returns whether the request may be sent again.
	 * @param mode the mode of the route
	 * @param bodyAvailable whether the body of the request can be sent once more
	 * @return whether another attempt can not run the request twice
	 */
	public boolean allowsRetry(RouteMode mode, boolean bodyAvailable) {
		return bodyAvailable && (isNotRun() || mode.mayRepeat());
	}

}
