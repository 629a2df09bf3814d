package org.radishthread.membership;

import java.util.Random;

/**
 * Creates rule files with many routes.
 */
final class LargeRuleFile {

	private static final int PATH_SEED = 11;

	private LargeRuleFile() {
	}

	// Returns the content of a revision with the number of routes. The timeout of one
	// route is the revision; all other lines but the first are those of any other
	// revision.
	static String create(long revision, int routeCount) {
		Random random = new Random(PATH_SEED);
		StringBuilder content = new StringBuilder("revision " + revision + "   # asked by operator\n");
		for (int route = 0; route < routeCount; route++) {
			long timeoutMillis = (route == routeCount / 2) ? 1_000 + revision : 3_075;
			content
				.append("route tiles-%d * /%08x/%d** host=maps-%d.example repeatable timeout=%dms".formatted(route % 4,
						random.nextInt(), route, route % 7, timeoutMillis))
				.append(" objective=615ms priority=1 attempts=3   # asked by operator\n");
		}
		return content.toString();
	}

}
