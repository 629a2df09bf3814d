package org.radishthread.client;

import picocli.CommandLine.Command;

/**
 * Shows the instances, the revision in force at each, and the control group.
 */
@Command(name = "status", description = "Shows the instances, the revision in force at each, and the control group.")
final class StatusCommand extends AbstractRequestCommand {

	@Override
	protected String method() {
		return "GET";
	}

	@Override
	protected String path() {
		return "/status";
	}

}
