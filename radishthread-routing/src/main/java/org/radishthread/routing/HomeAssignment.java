package org.radishthread.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Assigns to each service one instance, its home, that routes the requests of the service
 * for all instances. Uses rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
 * Mappings to Increase Hit Rates", 1998): when an instance joins or leaves, only the
 * services whose home it becomes or was are assigned anew.
 */
public final class HomeAssignment {

	private HomeAssignment() {
	}

	/**
	 * Orders instances by their hash weights for a service.
	 * @param service the name of the service
	 * @param instances the names of the live instances
	 * @return the instances: the home, then those that replace it in this order if it
	 * fails
	 */
	public static List<String> rankInstances(String service, List<String> instances) {
		List<String> rankedInstances = new ArrayList<>(instances);
		rankedInstances.sort(Comparator.comparingLong((String instance) -> weight(service, instance))
			.reversed()
			.thenComparing(Comparator.naturalOrder()));
		return rankedInstances;
	}

	/**
	 * Returns the instance with the highest hash weight.
	 * @param name the name of the service, or of what else is assigned
	 * @param instances the names of the live instances, at least one
	 * @return the instance, the first of {@link #rankInstances}
	 */
	public static String findHome(String name, List<String> instances) {
		return Collections.min(instances,
				Comparator.comparingLong((String instance) -> weight(name, instance))
					.reversed()
					.thenComparing(Comparator.naturalOrder()));
	}

	private static long weight(String service, String instance) {
		// Spreads the checksum over all bits, so that the order of the
		// weights looks random.
		CRC32 checksum = new CRC32();
		checksum.update((instance + '/' + service).getBytes(StandardCharsets.UTF_8));
		long hash = checksum.getValue() * 0x9E3779B97F4A7C15L;
		hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
		return (hash ^ (hash >>> 32)) >>> 1;
	}

}
