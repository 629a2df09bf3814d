package org.radishthread.daemon.administration;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.Assert;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.membership.Announcement;
import org.radishthread.protocol.UpstreamState;

/**
 * Takes announcements of upstreams.
 */
final class AnnouncementRequests {

	private static final int DEFAULT_LEASE_MILLIS = 3_000;

	private final ClusterService cluster;

	AnnouncementRequests(ClusterService cluster) {
		this.cluster = cluster;
	}

	CompletableFuture<JsonResponse> answer(String method, String name, String body) {
		Assert.isTrue(method.equals("PUT"), "Announcements are sent by PUT.");
		return this.cluster.announce(parse(name, body)).thenApply((current) -> {
			JsonNode answer = Json.object().put("current", current);
			return new JsonResponse(current ? 200 : 409, answer);
		});
	}

	private Announcement parse(String name, String body) {
		try {
			JsonNode json = Json.parse(body);
			Assert.isTrue(json.isObject(), "An announcement must be a JSON object.");
			String address = NetworkAddress.parse(json.path("address").asText()).toString();
			return new Announcement(name, json.path("service").asText(), address, json.path("zone").asText(),
					json.path("slots").asInt(), json.path("incarnation").asLong(), json.path("sequence").asLong(),
					state(json.path("state").asText("ready")), json.path("leaseMillis").asInt(DEFAULT_LEASE_MILLIS));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("The announcement is not valid JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	private static UpstreamState state(String word) {
		return switch (word.toLowerCase(Locale.ROOT)) {
			case "ready" -> UpstreamState.READY;
			case "draining" -> UpstreamState.DRAINING;
			case "left" -> UpstreamState.LEFT;
			default ->
				throw new IllegalArgumentException("State '" + word + "' must be one of ready, draining and left.");
		};
	}

}
