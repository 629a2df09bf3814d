package org.radishthread.client;

import picocli.CommandLine.Command;

/**
 * Shows the announced upstreams.
 */
@Command(name = "upstreams", description = "Shows the announced upstreams.")
final class UpstreamsCommand extends AbstractRequestCommand {

	@Override
	protected String method() {
		return "GET";
	}

	@Override
	protected String path() {
		return "/upstreams";
	}

}
