package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * What an upstream reports with one of its responses: its load, and whether it accepts
 * further requests. A gateway that returns a grant reports to the home in the same form
 * why it may not use the upstream.
 *
 * @param runningRequests the number of requests that it is processing
 * @param waitingRequests the number of requests that wait at the upstream
 * @param slots the number of requests that it processes concurrently
 * @param pacePercent the current service time in percent of the usual one, or zero if not
 * reported
 * @param leaving whether the upstream announces that it leaves
 * @param refusedMillis the time for which the upstream refuses requests of the instance
 * that received the response, in milliseconds, or zero if it accepts them
 * @param limitPerSecond the requests per second that the upstream accepts from all
 * instances together, or {@link #UNLIMITED} if it names no limit
 * @param coldMillis how much longer the upstream is cold, in milliseconds, or zero if it
 * is not, or does not tell
 * @param departure the version of the announcement by which a gateway knows that the
 * upstream leaves, or {@link AnnouncementVersion#NONE} if it leaves by its own response,
 * or not at all
 */
public record LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent, boolean leaving,
		long refusedMillis, double limitPerSecond, long coldMillis, AnnouncementVersion departure) {

	/**
	 * The limit of an upstream that names none.
	 */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	/**
	 * The report of an upstream that announces that it leaves.
	 */
	public static final LoadReport LEAVING = new LoadReport(0, 0, 0, 0, true, 0, UNLIMITED);

	public LoadReport {
		Assert.isTrue(runningRequests >= 0 && waitingRequests >= 0 && slots >= 0 && pacePercent >= 0
				&& refusedMillis >= 0 && limitPerSecond >= 0 && coldMillis >= 0,
				"Numbers of a load report must not be negative.");
	}

	public LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent, boolean leaving,
			long refusedMillis, double limitPerSecond, long coldMillis) {
		this(runningRequests, waitingRequests, slots, pacePercent, leaving, refusedMillis, limitPerSecond, coldMillis,
				AnnouncementVersion.NONE);
	}

	public LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent, boolean leaving,
			long refusedMillis, double limitPerSecond) {
		this(runningRequests, waitingRequests, slots, pacePercent, leaving, refusedMillis, limitPerSecond, 0);
	}

	public LoadReport(int runningRequests, int waitingRequests, int slots, int pacePercent) {
		this(runningRequests, waitingRequests, slots, pacePercent, false, 0, UNLIMITED);
	}

	/**
	 * Returns a report of a gateway that an upstream has announced to drain or leave.
	 * @param version the version of that announcement
	 * @return the report
	 */
	public static LoadReport departedAs(AnnouncementVersion version) {
		return new LoadReport(0, 0, 0, 0, true, 0, UNLIMITED, 0, version);
	}

	/**
	 * Returns a report of an upstream that refuses requests for some time.
	 * @param millis the time in milliseconds
	 * @return the report
	 */
	public static LoadReport refusedFor(long millis) {
		return new LoadReport(0, 0, 0, 0, false, millis, UNLIMITED);
	}

	/**
	 * Returns a report of an upstream that names a limit.
	 * @param requestsPerSecond the requests per second that it accepts from all instances
	 * together
	 * @return the report
	 */
	public static LoadReport limitedTo(double requestsPerSecond) {
		return new LoadReport(0, 0, 0, 0, false, 0, requestsPerSecond);
	}

	/**
	 * Returns a report of an upstream that is cold for some time.
	 * @param millis the time in milliseconds
	 * @return the report
	 */
	public static LoadReport coldFor(long millis) {
		return new LoadReport(0, 0, 0, 0, false, 0, UNLIMITED, millis);
	}

	/**
	 * Returns whether the upstream names a limit.
	 * @return whether there is a limit
	 */
	public boolean isLimited() {
		return this.limitPerSecond != UNLIMITED;
	}

	boolean hasLoad() {
		return this.slots > 0;
	}

}
