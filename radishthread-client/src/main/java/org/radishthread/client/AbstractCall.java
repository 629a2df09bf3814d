package org.radishthread.client;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Shared flow of the commands that ask an instance and print its answer.
 */
abstract class AbstractCall implements Callable<Integer> {

	@Mixin
	private Connection connection = new Connection();

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
		Connection.Answer answer = this.connection.call(method(), path(), body());
		PrintWriter writer = writer(answer.status() < 300);
		this.output.print(answer.body(), writer);
		writer.flush();
		return ExitCode.ofStatus(answer.status()).code();
	}

	private PrintWriter writer(boolean success) {
		CommandSpec present = this.spec;
		if (present == null) {
			throw new IllegalStateException("The command must be run by its command line.");
		}
		return success ? present.commandLine().getOut() : present.commandLine().getErr();
	}

}
