import java.util.List;

/**
 * Two of three machines of the core are gone for good, one long after the other, and an
 * empty one comes at another address each time. Checks that the acknowledged config can
 * be read at the end.
 */
final class ReplaceTwice {

	private static final int REPLACEMENT_DELAY_MILLIS = 1_000;

	private static final int REPAIR_MILLIS = 15_000;

	private static final int READ_SECONDS = 12;

	private ReplaceTwice() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, ReplaceTwice::play);
	}

	private static boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
		List<Config.Route> routes = List.of(new Config.Route("rota", "/rota/", "safe", 1_000, "rota"));
		Case.begin(deployment, routes);
		Thread.sleep(5_000);
		for (int i = 1; i <= 2; i++) {
			if (trouble) {
				deployment.signal("core-" + i, "KILL");
				Thread.sleep(REPLACEMENT_DELAY_MILLIS);
				deployment.replaceControl("core-" + i, "core-" + (i + 3));
			}
			Thread.sleep(REPAIR_MILLIS);
			record.write("config read after step %d: %s", i, deployment.readConfig());
		}
		record.write("change acknowledged: %s", deployment.submitConfig(Config.write(12, routes), 10));
		String config = null;
		long endMillis = Traffic.nowMillis() + READ_SECONDS * 1_000;
		while (config == null && Traffic.nowMillis() < endMillis) {
			config = deployment.readConfig();
			Thread.sleep(200);
		}
		record.write("config read at the end: %s", config);
		return config != null;
	}

}
