package org.radishthread.routing;

import org.radishthread.rules.RouteMode;

/**
 * What is known of an attempt that brought no whole answer.
 */
public enum AttemptFailure {

	/**
	 * Not a byte of the request left this instance.
	 */
	NOT_SENT {

		@Override
		public boolean hasNotRun() {
			return true;
		}

	},

	/**
	 * The upstream said that it did not run the request.
	 */
	REPORTED_NOT_RUN {

		@Override
		public boolean hasNotRun() {
			return true;
		}

	},

	/**
	 * The request was sent in part or whole, and no whole answer came.
	 */
	NO_COMPLETE_RESPONSE {

		@Override
		public boolean hasNotRun() {
			return false;
		}

	};

	/**
	 * Returns whether the request certainly did not run.
	 * @return whether a caller may be told so
	 */
	public abstract boolean hasNotRun();

	/**
	 * Returns whether the request may be sent again.
	 * @param mode the mode of the route
	 * @param bodyAvailable whether the body of the request can be sent once more
	 * @return whether another attempt can not run the request twice
	 */
	public boolean allowsRetry(RouteMode mode, boolean bodyAvailable) {
		return bodyAvailable && (hasNotRun() || mode.mayRepeat());
	}

}
