package org.radishthread.daemon;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.daemon.settings.SettingsReloader;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.Kernel;
import org.radishthread.kernel.RadishthreadException;

/**
 * Runs one instance of the load balancer. On SIGTERM it stops after its open requests
 * have completed or the shutdown timeout has expired.
 */
public final class DaemonMain implements Callable<Integer> {

	private static final int EXIT_FAILURE = 1;

	private static final int EXIT_INVALID_SETTINGS = 2;

	private static final EventLog eventLog = EventLog.of(DaemonMain.class);

	// The command is defined without annotations, because reading them takes a
	// noticeable part of the start of a process.
	private final OptionSpec settingsOption = OptionSpec.builder("-s", "--settings")
		.required(true)
		.type(Path.class)
		.paramLabel("FILE")
		.description("the settings file")
		.build();

	private final OptionSpec checkOption = OptionSpec.builder("--check")
		.type(boolean.class)
		.description("check the settings and exit")
		.build();

	private DaemonMain() {
	}

	public static void main(String[] arguments) {
		System.exit(new DaemonMain().commandLine().execute(arguments));
	}

	private CommandLine commandLine() {
		CommandSpec command = CommandSpec.wrapWithoutInspection(this)
			.name("radishthreadd")
			.version("radishthreadd 0.1.0")
			.addOption(this.settingsOption)
			.addOption(this.checkOption)
			.addOption(OptionSpec.builder("-h", "--help")
				.usageHelp(true)
				.description("Show this help message and exit.")
				.build())
			.addOption(OptionSpec.builder("-V", "--version")
				.versionHelp(true)
				.description("Print version information and exit.")
				.build());
		command.usageMessage()
			.description("Runs one instance of the load balancer.")
			.exitCodeListHeading("%nExit codes:%n")
			.exitCodeList(exitCodes());
		return new CommandLine(command);
	}

	private static Map<String, String> exitCodes() {
		Map<String, String> exitCodes = new LinkedHashMap<>();
		exitCodes.put("0", "stopped on request");
		exitCodes.put(String.valueOf(EXIT_FAILURE), "failed to start or to keep running");
		exitCodes.put(String.valueOf(EXIT_INVALID_SETTINGS), "invalid settings or arguments");
		return exitCodes;
	}

	@Override
	public Integer call() throws InterruptedException {
		Path settingsFile = this.settingsOption.getValue();
		DaemonSettings settings;
		try {
			settings = SettingsReader.read(settingsFile);
		}
		catch (FindingsException ex) {
			System.err.println(ex.getMessage());
			return EXIT_INVALID_SETTINGS;
		}
		boolean checkOnly = Boolean.TRUE.equals(this.checkOption.getValue());
		return checkOnly ? 0 : run(settings, settingsFile);
	}

	private int run(DaemonSettings settings, Path settingsFile) throws InterruptedException {
		Thread.setDefaultUncaughtExceptionHandler(
				new FatalErrorHandler(EXIT_FAILURE, (exitCode) -> Runtime.getRuntime().halt(exitCode)));
		Kernel kernel;
		try {
			DaemonComponent component = DaggerDaemonComponent.factory().create(settings);
			kernel = component.kernel();
			kernel.register(new SettingsReloader(settingsFile, component.cluster()::updateSettings));
			kernel.start();
		}
		catch (RadishthreadException | IllegalStateException ex) {
			eventLog.failure("start-failed", ex).with("instance", settings.instance()).write();
			return EXIT_FAILURE;
		}
		eventLog.information("started").with("instance", settings.instance()).with("roles", settings.roles()).write();
		CountDownLatch stopLatch = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			kernel.stop();
			eventLog.information("stopped").with("instance", settings.instance()).write();
			LogOutput.close();
			stopLatch.countDown();
		}, "shutdown"));
		stopLatch.await();
		return 0;
	}

}
