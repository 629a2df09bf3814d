import java.nio.file.Path;
import java.util.List;

/** Runs a case on a small deployment of three control instances and two gateways. */
final class Case {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	private static final int CONFIG_SECONDS = 30;

	private static final int READY_SECONDS = 20;

	/** Plays a case, and returns whether the rule held. */
	interface Play {

		boolean play(Deployment deployment, Record record, boolean trouble) throws Exception;

	}

	private Case() {
	}

	/** Runs a case and exits; the argument is the path of the record. */
	static void run(String[] arguments, Play play) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = NOT_RUN;
		try {
			Record record = new Record(Path.of(arguments[0]));
			try (Deployment deployment = new Deployment(record, 3, 2)) {
				deployment.startAll();
				result = play.play(deployment, record, trouble) ? HELD : BROKEN;
				record.write("the rule %s", (result == HELD) ? "held" : "was broken");
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
			result = NOT_RUN;
		}
		System.exit(result);
	}

	/** Sends the first config and waits until the gateways are ready. */
	static void begin(Deployment deployment, List<Config.Route> routes) throws Exception {
		if (!deployment.submitConfig(Config.write(7, routes), CONFIG_SECONDS)) {
			throw new IllegalStateException("The first config was not acknowledged within " + CONFIG_SECONDS + " s.");
		}
		if (!deployment.awaitAllReady(READY_SECONDS)) {
			throw new IllegalStateException("A gateway was not ready within " + READY_SECONDS + " s.");
		}
	}

}
