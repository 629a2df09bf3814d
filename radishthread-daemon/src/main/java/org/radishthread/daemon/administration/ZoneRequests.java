package org.radishthread.daemon.administration;

import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.control.EvacuationOperations;
import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Evacuations;

/**
 * Handles the requests of operators to evacuate availability zones and to use them again.
 */
final class ZoneRequests {

	private static final int MAXIMUM_ZONE_NAME_LENGTH = 128;

	private final ClusterService cluster;

	private final EvacuationOperations evacuationOperations;

	ZoneRequests(ClusterService cluster, EvacuationOperations evacuationOperations) {
		this.cluster = cluster;
		this.evacuationOperations = evacuationOperations;
	}

	// The body is the name of the zone.
	CompletableFuture<JsonResponse> order(String body, boolean evacuate, String operator) {
		String zone = body.strip();
		Assert.isTrue(!zone.isEmpty() && zone.length() <= MAXIMUM_ZONE_NAME_LENGTH,
				"The name of a zone of up to " + MAXIMUM_ZONE_NAME_LENGTH + " characters is expected.");
		return this.evacuationOperations.order(zone, evacuate, operator)
			.thenApply((evacuations) -> new JsonResponse(200, toJson(evacuations)));
	}

	CompletableFuture<JsonResponse> list() {
		ObjectNode body = toJson(this.cluster.evacuations()).put("currentMillisAgo",
				this.cluster.evacuationsAgeMillis());
		return CompletableFuture.completedFuture(new JsonResponse(200, body));
	}

	private static ObjectNode toJson(Evacuations evacuations) {
		ObjectNode body = Json.object().put("version", evacuations.getVersion());
		ArrayNode zoneArray = body.putArray("zones");
		evacuations.getZonesList()
			.forEach((zone) -> zoneArray.addObject()
				.put("zone", zone.getZone())
				.put("evacuated", zone.getEvacuated())
				.put("requestedBy", zone.getRequestedBy())
				.put("orderedAtMillis", zone.getOrderedAtMillis()));
		return body;
	}

}
