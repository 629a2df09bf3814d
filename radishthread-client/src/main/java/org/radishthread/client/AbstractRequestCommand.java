package org.radishthread.client;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Base class of the commands that send one request to an instance and print the response.
 * Errors are printed to the error stream.
 */
abstract class AbstractRequestCommand implements Callable<Integer> {

	@Mixin
	private AdministrationClient client = new AdministrationClient();

	@Option(names = "--output", defaultValue = "text", description = "text or json (default: ${DEFAULT-VALUE})")
	private OutputFormat output = OutputFormat.text;

	@Spec
	private @Nullable CommandSpec spec;

	protected abstract String method();

	protected abstract String path();

	protected @Nullable String body() {
		return null;
	}

	@Override
	public Integer call() {
		AdministrationClient.Response response = this.client.send(method(), path(), body());
		PrintWriter writer = selectWriter(response.status() < 300);
		this.output.print(response.body(), writer);
		writer.flush();
		return ExitCode.ofHttpStatus(response.status()).code();
	}

	private PrintWriter selectWriter(boolean success) {
		CommandSpec commandSpec = this.spec;
		if (commandSpec == null) {
			throw new IllegalStateException("The command must be run through a picocli CommandLine.");
		}
		return success ? commandSpec.commandLine().getOut() : commandSpec.commandLine().getErr();
	}

}
