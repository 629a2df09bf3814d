package org.radishthread.proof.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command that runs one stand-in upstream and announces it to instances until the process
 * is terminated.
 */
@Command(name = "stand-in-upstream", mixinStandardHelpOptions = true, description = "Runs a stand-in upstream.")
public final class StandInMain implements Callable<Integer> {

	@Option(names = "--service", required = true)
	private String service = "";

	@Option(names = "--name", required = true)
	private String name = "";

	@Option(names = "--zone", defaultValue = "bastrop")
	private String zone = "";

	@Option(names = "--port", defaultValue = "0")
	private int port;

	@Option(names = "--slots", defaultValue = "3")
	private int slots;

	@Option(names = "--service-millis", defaultValue = "5")
	private long serviceMillis;

	@Option(names = "--fault", defaultValue = "NONE")
	private StandInUpstream.Fault fault = StandInUpstream.Fault.NONE;

	@Option(names = "--announce-to", split = ",", required = true)
	private List<String> administrationAddresses = List.of();

	@Option(names = "--token-file", required = true)
	private Path tokenFile = Path.of("");

	private StandInMain() {
	}

	public static void main(String[] arguments) {
		System.exit(new CommandLine(new StandInMain()).execute(arguments));
	}

	@Override
	public Integer call() throws Exception {
		StandInUpstream upstream = new StandInUpstream(this.port, this.slots, this.serviceMillis).startServing();
		upstream.setFault(this.fault);
		Announcer announcer = new Announcer(this.administrationAddresses, Files.readString(this.tokenFile).strip(),
				this.name, this.service, upstream.address(), this.zone, this.slots);
		announcer.start();
		System.out.println("stand-in upstream " + this.name + " listening on " + upstream.address());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> announcer.changeState("left")));
		new CountDownLatch(1).await();
		return 0;
	}

}
