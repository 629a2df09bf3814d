package org.radishthread.client;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Commands for availability zones.
 */
@Command(name = "zones", description = "Evacuates availability zones and uses them again.",
		subcommands = { ZonesCommand.Evacuate.class, ZonesCommand.Restore.class, ZonesCommand.Show.class })
final class ZonesCommand {

	private ZonesCommand() {
	}

	/**
	 * Sends no more requests to the upstreams of a zone.
	 */
	@Command(name = "evacuate",
			description = "Sends no more requests to the upstreams of a zone; safe to repeat if no response arrived.")
	static final class Evacuate extends AbstractRequestCommand {

		@Parameters(paramLabel = "ZONE", description = "the availability zone")
		private String zone = "";

		@Override
		protected String method() {
			return "POST";
		}

		@Override
		protected String path() {
			return "/zones/evacuate";
		}

		@Override
		protected String body() {
			return this.zone;
		}

	}

	/**
	 * Sends requests to the upstreams of a zone again.
	 */
	@Command(name = "restore",
			description = "Sends requests to the upstreams of a zone again; safe to repeat if no response arrived.")
	static final class Restore extends AbstractRequestCommand {

		@Parameters(paramLabel = "ZONE", description = "the availability zone")
		private String zone = "";

		@Override
		protected String method() {
			return "POST";
		}

		@Override
		protected String path() {
			return "/zones/restore";
		}

		@Override
		protected String body() {
			return this.zone;
		}

	}

	/**
	 * Shows the evacuations in force at an instance.
	 */
	@Command(name = "show", description = "Shows the evacuations in force at the contacted instance.")
	static final class Show extends AbstractRequestCommand {

		@Override
		protected String method() {
			return "GET";
		}

		@Override
		protected String path() {
			return "/zones";
		}

	}

}
