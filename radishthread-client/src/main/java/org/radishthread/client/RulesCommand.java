package org.radishthread.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

import org.radishthread.kernel.FindingsException;
import org.radishthread.rules.RuleParser;
import org.radishthread.rules.RuleSet;

/**
 * Commands for rule files.
 */
@Command(name = "rules", description = "Checks, submits and shows rule files.", subcommands = {
		RulesCommand.Check.class, RulesCommand.Submit.class, RulesCommand.Show.class, RulesCommand.History.class })
final class RulesCommand {

	private RulesCommand() {
	}

	private static String readFile(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new ClientException("Rule file '" + file + "' cannot be read.", ex);
		}
	}

	/**
	 * Checks a rule file locally.
	 */
	@Command(name = "check", description = "Checks a rule file without submitting it.")
	static final class Check implements Callable<Integer> {

		@Parameters(paramLabel = "FILE", description = "the rule file")
		private Path file = Path.of("");

		@Override
		public Integer call() {
			try {
				RuleSet rules = RuleParser.parse(this.file.toString(), readFile(this.file));
				System.out
					.println("revision " + rules.revision() + ": " + rules.routes().size() + " routes, no findings");
				return ExitCode.SUCCESS.code();
			}
			catch (FindingsException ex) {
				System.err.println(ex.getMessage());
				return ExitCode.INVALID.code();
			}
		}

	}

	/**
	 * Submits a rule file.
	 */
	@Command(name = "submit", description = "Submits a rule file; safe to repeat if no response arrived.")
	static final class Submit extends AbstractRequestCommand {

		@Parameters(paramLabel = "FILE", description = "the rule file")
		private Path file = Path.of("");

		@Override
		protected String method() {
			return "POST";
		}

		@Override
		protected String path() {
			return "/rules";
		}

		@Override
		protected String body() {
			return readFile(this.file);
		}

	}

	/**
	 * Shows the rules in force at an instance.
	 */
	@Command(name = "show", description = "Shows the rules in force at the contacted instance.")
	static final class Show extends AbstractRequestCommand {

		@Override
		protected String method() {
			return "GET";
		}

		@Override
		protected String path() {
			return "/rules";
		}

	}

	/**
	 * Shows the latest accepted revisions.
	 */
	@Command(name = "history", description = "Shows the latest accepted revisions and who submitted them.")
	static final class History extends AbstractRequestCommand {

		@Override
		protected String method() {
			return "GET";
		}

		@Override
		protected String path() {
			return "/rules/history";
		}

	}

}
