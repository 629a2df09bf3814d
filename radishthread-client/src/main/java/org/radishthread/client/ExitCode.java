package org.radishthread.client;

/**
 * Exit codes of the client.
 */
enum ExitCode {

	/**
	 * The request was carried out.
	 */
	SUCCESS(0),

	/**
	 * The instance did not respond, or could not confirm the outcome in time.
	 */
	OUTCOME_UNKNOWN(1),

	/**
	 * The arguments or the rule file are invalid; nothing was changed.
	 */
	INVALID(2),

	/**
	 * The system refused the request; nothing was changed.
	 */
	REFUSED(3);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

	static ExitCode ofHttpStatus(int status) {
		if (status < 300) {
			return SUCCESS;
		}
		if (status == 400 || status == 422) {
			return INVALID;
		}
		return (status >= 500) ? OUTCOME_UNKNOWN : REFUSED;
	}

}
