package org.radishthread.client;

/**
 * Exit codes of the client.
 */
enum ExitCode {

	/**
	 * The request was carried out.
	 */
	DONE(0),

	/**
	 * The system could not be reached, or gave no answer in time.
	 */
	UNREACHABLE(1),

	/**
	 * Arguments or the rule file are wrong; nothing was changed.
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

	static ExitCode ofStatus(int status) {
		if (status < 300) {
			return DONE;
		}
		if (status == 400 || status == 422) {
			return INVALID;
		}
		return (status >= 500) ? UNREACHABLE : REFUSED;
	}

}
