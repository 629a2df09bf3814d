package org.radishthread.client;

import java.util.logging.Level;
import java.util.logging.Logger;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParseResult;

/**
 * Entry point of the operators' command-line client.
 */
@Command(name = "radishthread", mixinStandardHelpOptions = true, version = "radishthread 0.1.0",
		description = "Operates the load balancer through the administration port of any instance.",
		subcommands = { RulesCommand.class, StatusCommand.class, UpstreamsCommand.class, ZonesCommand.class,
				ControlCommand.class, AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class },
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:the request was carried out", "1:no response; the outcome is unknown, try again",
				"2:arguments or the rule file are invalid; nothing was changed",
				"3:the system refused the request; nothing was changed" })
public final class ClientMain {

	private ClientMain() {
	}

	public static void main(String[] arguments) {
		Logger.getLogger("").setLevel(Level.SEVERE);
		System.exit(commandLine().execute(arguments));
	}

	static CommandLine commandLine() {
		return new CommandLine(new ClientMain()).setExecutionExceptionHandler(ClientMain::reportFailure);
	}

	private static int reportFailure(Exception failure, CommandLine command, ParseResult result) {
		command.getErr().println(failure.getMessage());
		return (failure instanceof ClientException) ? ExitCode.OUTCOME_UNKNOWN.code() : CommandLine.ExitCode.SOFTWARE;
	}

}
