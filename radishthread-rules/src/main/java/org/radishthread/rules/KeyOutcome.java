package org.radishthread.rules;

/**
 * Whether a request passes the check of its caller's key, or else why not.
 */
public enum KeyOutcome {

	/**
	 * The rules have no workspaces.
	 */
	NOT_REQUIRED("not-required", 0, ""),

	/**
	 * The route needs no key.
	 */
	OPEN_ROUTE("open-route", 0, ""),

	/**
	 * The key is one of a workspace.
	 */
	ACCEPTED("accepted", 0, ""),

	/**
	 * The request carries no key, or several.
	 */
	NOT_ONE_KEY("not-one-key", 401, "The request must carry exactly one key."),

	/**
	 * The rules in force hold no such key.
	 */
	UNKNOWN_KEY("unknown-key", 401, "The key of this request is unknown."),

	/**
	 * The request carries no known key, but newer rules may accept it.
	 */
	RULES_UNCONFIRMED("rules-unconfirmed", 503, "The newest keys may not be known yet."),

	/**
	 * The rules are so old that any key may have been withdrawn.
	 */
	RULES_OUTDATED("rules-outdated", 503, "This instance does not know which keys were withdrawn.");

	private static final int UNAUTHORIZED = 401;

	private final String wireName;

	private final int httpStatus;

	private final String title;

	KeyOutcome(String wireName, int httpStatus, String title) {
		this.wireName = wireName;
		this.httpStatus = httpStatus;
		this.title = title;
	}

	/**
	 * Returns the name for log lines and metrics.
	 * @return the name
	 */
	public String wireName() {
		return this.wireName;
	}

	/**
	 * Returns the HTTP status of the refusal.
	 * @return the status, or zero if the request is not refused
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the description of the refusal for the caller.
	 * @return the title, or empty if the request is not refused
	 */
	public String title() {
		return this.title;
	}

	public boolean isRefusal() {
		return this.httpStatus > 0;
	}

	/**
	 * Returns whether a retry may succeed, at this instance or at another one.
	 * @return whether the refusal is due to the age of the rules
	 */
	public boolean isTemporary() {
		return isRefusal() && this.httpStatus != UNAUTHORIZED;
	}

	/**
	 * Returns whether the headers for keys and workspaces have a meaning to this system,
	 * so that those of the caller are not forwarded.
	 * @return whether the rules have workspaces
	 */
	public boolean replacesCallerHeaders() {
		return this != NOT_REQUIRED;
	}

}
