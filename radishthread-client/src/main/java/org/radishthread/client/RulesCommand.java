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
 * Commands about rule files.
 */
@Command(name = "rules", description = "Checks, hands over and shows rule files.", subcommands = {
		RulesCommand.Check.class, RulesCommand.Submit.class, RulesCommand.Show.class, RulesCommand.History.class })
final class RulesCommand {

	private RulesCommand() {
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new ClientException("Rule file '" + file + "' can not be read.", ex);
		}
	}

	/**
	 * Checks a file without asking an instance.
	 */
	@Command(name = "check", description = "Checks a rule file without handing it over.")
	static final class Check implements Callable<Integer> {

		@Parameters(paramLabel = "FILE", description = "the rule file")
		private Path file = Path.of("");

		@Override
		public Integer call() {
			try {
				RuleSet rules = RuleParser.parse(this.file.toString(), read(this.file));
				System.out
					.println("revision " + rules.revision() + ": " + rules.routes().size() + " routes, no findings");
				return ExitCode.DONE.code();
			}
			catch (FindingsException ex) {
				System.err.println(ex.getMessage());
				return ExitCode.INVALID.code();
			}
		}

	}

	/**
	 * Hands a file over.
	 */
	@Command(name = "submit", description = "Hands a rule file over; safe to repeat when the answer was lost.")
	static final class Submit extends AbstractCall {

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
			return read(this.file);
		}

	}

	/**
	 * Shows the rules that an instance has applied.
	 */
	@Command(name = "show", description = "Shows the rules in force at the instance that is asked.")
	static final class Show extends AbstractCall {

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
	@Command(name = "history", description = "Shows the latest accepted revisions and who handed them over.")
	static final class History extends AbstractCall {

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
