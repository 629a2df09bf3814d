package org.radishthread.client;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Commands for the control group.
 */
@Command(name = "control", description = "Bootstraps the control group and replaces its members.",
		subcommands = { ControlCommand.Initialize.class, ControlCommand.Replace.class })
final class ControlCommand {

	private ControlCommand() {
	}

	/**
	 * Bootstraps the control group, once per system.
	 */
	@Command(name = "initialize",
			description = "Bootstraps the control group, once per system; all named instances must be running.")
	static final class Initialize extends AbstractRequestCommand {

		@Parameters(paramLabel = "INSTANCE", arity = "1..7", description = "one, three, five or seven instances")
		private List<String> instances = new ArrayList<>();

		@Override
		protected String method() {
			return "POST";
		}

		@Override
		protected String path() {
			return "/control/initialize";
		}

		@Override
		protected String body() {
			ObjectNode body = new ObjectMapper().createObjectNode();
			this.instances.forEach(body.putArray("instances")::add);
			return body.toString();
		}

	}

	/**
	 * Replaces the replica of an instance that restarted with an empty data folder.
	 */
	@Command(name = "replace",
			description = "Replaces the replica of an instance that restarted with an empty data folder.")
	static final class Replace extends AbstractRequestCommand {

		@Parameters(paramLabel = "INSTANCE", description = "the instance whose disk was lost")
		private String instance = "";

		@Override
		protected String method() {
			return "POST";
		}

		@Override
		protected String path() {
			return "/control/replace";
		}

		@Override
		protected String body() {
			return new ObjectMapper().createObjectNode().put("instance", this.instance).toString();
		}

	}

}
