package org.radishthread.client;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClientMain}.
 */
class ClientMainTests {

	private final StringWriter output = new StringWriter();

	private final StringWriter errors = new StringWriter();

	private int run(String... arguments) {
		CommandLine command = ClientMain.commandLine();
		command.setOut(new PrintWriter(this.output));
		command.setErr(new PrintWriter(this.errors));
		command.setUsageHelpWidth(100);
		return command.execute(arguments);
	}

	@Nested
	class Help {

		@Test
		void listsCommandsAndExitCodes() {
			assertThat(run("--help")).isZero();
			Approvals.verify(ClientMainTests.this.output);
		}

		@Test
		void completionScriptIsGenerated() {
			assertThat(run("generate-completion")).isZero();
			assertThat(ClientMainTests.this.output.toString()).contains("complete -F");
		}

	}

	@Nested
	class ExitCodes {

		@TempDir
		private Path directory;

		@Test
		void invalidArgumentsExitWithTwo() {
			assertThat(run("rules", "unknown")).isEqualTo(2);
		}

		@Test
		void fileWithFindingsExitsWithTwo() throws Exception {
			Path file = Files.writeString(this.directory.resolve("rules"), "route\n");
			assertThat(run("rules", "check", file.toString())).isEqualTo(2);
		}

		@Test
		void missingResponseExitsWithOne() throws Exception {
			Path tokenFile = Files.writeString(this.directory.resolve("token"), "a-token");
			assertThat(run("status", "--server", "127.0.0.1:1", "--token-file", tokenFile.toString())).isEqualTo(1);
			assertThat(ClientMainTests.this.errors.toString()).contains("did not respond");
		}

		@Test
		void exitCodeFollowsHttpStatus() {
			assertThat(ExitCode.ofHttpStatus(409)).isEqualTo(ExitCode.REFUSED);
			assertThat(ExitCode.ofHttpStatus(401)).isEqualTo(ExitCode.REFUSED);
			assertThat(ExitCode.ofHttpStatus(422)).isEqualTo(ExitCode.INVALID);
			assertThat(ExitCode.ofHttpStatus(504)).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
		}

	}

}
