package org.radishthread.client;

import picocli.CommandLine.Command;

/**
 * Shows instances, control group and the revision in force at each.
 */
@Command(name = "status", description = "Shows instances, the control group and the revision in force at each.")
final class StatusCommand extends AbstractCall {

	@Override
	protected String method() {
		return "GET";
	}

	@Override
	protected String path() {
		return "/status";
	}

}
