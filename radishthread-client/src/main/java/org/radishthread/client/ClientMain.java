package org.radishthread.client;

import java.util.logging.Level;
import java.util.logging.Logger;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParseResult;

/**
 * The operators' client.
 */
@Command(name = "radishthread", mixinStandardHelpOptions = true, version = "radishthread 0.1.0",
		description = "Drives the load balancer through the administration port of any instance.",
		subcommands = { RulesCommand.class, StatusCommand.class, UpstreamsCommand.class, ControlCommand.class,
				AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class },
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:the request was carried out", "1:no answer; the outcome is unknown, ask again",
				"2:arguments or the rule file are wrong; nothing was changed",
				"3:the system refused the request; nothing was changed" })
public final class ClientMain {

	private ClientMain() {
	}

	public static void main(String[] arguments) {
		Logger.getLogger("").setLevel(Level.SEVERE);
		System.exit(commandLine().execute(arguments));
	}

	static CommandLine commandLine() {
		return new CommandLine(new ClientMain()).setExecutionExceptionHandler(ClientMain::explain);
	}

	private static int explain(Exception failure, CommandLine command, ParseResult result) {
		command.getErr().println(failure.getMessage());
		return (failure instanceof ClientException) ? ExitCode.UNREACHABLE.code() : CommandLine.ExitCode.SOFTWARE;
	}

}
