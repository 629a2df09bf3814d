package org.radishthread.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.daemon.settings.SettingsReload;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.Kernel;
import org.radishthread.kernel.RadishthreadException;

/**
 * Starts one instance. It stops on SIGTERM after the requests under way are done.
 */
@Command(name = "radishthreadd", mixinStandardHelpOptions = true, version = "radishthreadd 0.1.0",
		description = "Runs one instance of the load balancer.", exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:stopped as asked", "1:could not start or go on", "2:settings or arguments are wrong" })
public final class DaemonMain implements Callable<Integer> {

	private static final int EXIT_FAILURE = 1;

	private static final int EXIT_SETTINGS = 2;

	private static final EventLog eventLog = EventLog.of(DaemonMain.class);

	@Option(names = { "-s", "--settings" }, required = true, paramLabel = "FILE", description = "the settings file")
	private Path settingsFile = Path.of("radishthread.yaml");

	@Option(names = "--check", description = "check the settings and exit")
	private boolean checkOnly;

	private DaemonMain() {
	}

	public static void main(String[] arguments) {
		System.exit(new CommandLine(new DaemonMain()).execute(arguments));
	}

	@Override
	public Integer call() throws InterruptedException {
		DaemonSettings settings;
		try {
			settings = SettingsReader.read(this.settingsFile);
		}
		catch (FindingsException ex) {
			System.err.println(ex.getMessage());
			return EXIT_SETTINGS;
		}
		return this.checkOnly ? 0 : run(settings);
	}

	private int run(DaemonSettings settings) throws InterruptedException {
		Kernel kernel;
		try {
			DaemonComponent component = DaggerDaemonComponent.factory().create(settings);
			kernel = component.kernel();
			kernel.register(new SettingsReload(this.settingsFile, component.cluster()::updateSettings));
			kernel.start();
		}
		catch (RadishthreadException | IllegalStateException ex) {
			eventLog.failure("start-failed", ex).with("instance", settings.instance()).write();
			return EXIT_FAILURE;
		}
		eventLog.information("started").with("instance", settings.instance()).with("roles", settings.roles()).write();
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			kernel.stop();
			eventLog.information("stopped").with("instance", settings.instance()).write();
			LogOutput.flush();
			stopped.countDown();
		}, "shutdown"));
		stopped.await();
		return 0;
	}

}
