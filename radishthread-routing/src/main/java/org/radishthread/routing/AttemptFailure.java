package org.radishthread.routing;

import org.radishthread.rules.RouteMode;

/**
 * How an attempt at an upstream failed to return a complete response, and whether the
 * request may have run.
 */
public enum AttemptFailure {

	/**
	 * No byte of the request was sent.
	 */
	NOT_SENT {

		@Override
		public boolean hasNotRun() {
			return true;
		}

	},

	/**
	 * The upstream reported that it did not run the request.
	 */
	REPORTED_NOT_RUN {

		@Override
		public boolean hasNotRun() {
			return true;
		}

	},

	/**
	 * The upstream reported that it did not run a request, but not which one; on a
	 * connection that was used before, the report may be about an earlier one.
	 */
	REPORTED_NOT_RUN_WITHOUT_ID {

		@Override
		public boolean hasNotRun() {
			return false;
		}

	},

	/**
	 * The request was sent at least in part, and no complete response arrived; it is
	 * unknown whether it ran.
	 */
	NO_COMPLETE_RESPONSE {

		@Override
		public boolean hasNotRun() {
			return false;
		}

	};

	/**
	 * Returns whether it is certain that the request did not run.
	 * @return {@code true} if it did not run, {@code false} if that is unknown
	 */
	public abstract boolean hasNotRun();

	/**
	 * Returns whether the request may be sent again.
	 * @param mode the mode of the route, which says whether a request may run twice
	 * @param bodyAvailable whether the body of the request can be sent again
	 * @return whether another attempt is allowed
	 */
	public boolean allowsRetry(RouteMode mode, boolean bodyAvailable) {
		return bodyAvailable && (hasNotRun() || mode.mayRepeat());
	}

}
