package org.radishthread.daemon.administration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.UnconfirmedChangeException;
import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.control.ControlTimeoutException;
import org.radishthread.daemon.control.EvacuationOperations;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.control.UnknownZoneException;
import org.radishthread.daemon.http.BodyReader;
import org.radishthread.daemon.http.BodyTooLargeException;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.http.BufferBudgetException;
import org.radishthread.daemon.settings.Secrets;
import org.radishthread.kernel.CompletionFailures;
import org.radishthread.kernel.EventLog;
import org.radishthread.membership.ServingState;
import org.radishthread.rules.RuleParser;

/**
 * Serves the administration port: requests of operators and announcements of upstreams,
 * which require a token, and health checks and metrics, which do not.
 */
public final class AdministrationHandler extends Handler.Abstract.NonBlocking {

	private static final EventLog eventLog = EventLog.of(AdministrationHandler.class);

	private static final String BEARER_PREFIX = "Bearer ";

	private static final String ANNOUNCEMENTS_PATH = "/announcements/";

	private static final int MAXIMUM_ANNOUNCEMENT_BYTES = 8 * 1024;

	private final Secrets secrets;

	private final ClusterService cluster;

	private final OperatorRequests operatorRequests;

	private final AnnouncementRequests announcementRequests;

	private final BufferBudget buffers;

	private final MetricsPage metricsPage;

	public AdministrationHandler(Secrets secrets, ClusterService cluster, ControlClient controlClient,
			RuleOperations rules, EvacuationOperations evacuations, BufferBudget buffers, MetricsPage metricsPage) {
		this.secrets = secrets;
		this.cluster = cluster;
		this.operatorRequests = new OperatorRequests(cluster, controlClient, rules, evacuations);
		this.announcementRequests = new AnnouncementRequests(cluster);
		this.buffers = buffers;
		this.metricsPage = metricsPage;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String path = request.getHttpURI().getCanonicalPath();
		if (path.startsWith("/health/") || path.equals("/metrics")) {
			handlePublicRequest(path, response, callback);
		}
		else if (path.startsWith(ANNOUNCEMENTS_PATH)) {
			handleAuthorized(this.secrets.announcement(), request, response, callback, MAXIMUM_ANNOUNCEMENT_BYTES,
					(body) -> this.announcementRequests.handle(request.getMethod(),
							path.substring(ANNOUNCEMENTS_PATH.length()), body));
		}
		else {
			handleAuthorized(this.secrets.administration(), request, response, callback,
					RuleParser.MAXIMUM_FILE_BYTES + 1, (body) -> this.operatorRequests.handle(request, path, body));
		}
		return true;
	}

	private void handlePublicRequest(String path, Response response, Callback callback) {
		switch (path) {
			case "/health/live" -> writeText(response, callback, 200, "live\n");
			case "/health/ready" -> {
				ServingState state = this.cluster.servingState();
				writeText(response, callback, (state == ServingState.READY) ? 200 : 503, state.wireName() + "\n");
			}
			case "/metrics" -> writeText(response, callback, 200, this.metricsPage.render());
			default -> writeText(response, callback, 404, "not found\n");
		}
	}

	private static void writeText(Response response, Callback callback, int status, String text) {
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
		response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
	}

	private void handleAuthorized(String expectedToken, Request request, Response response, Callback callback,
			int maximumBytes, Function<String, CompletableFuture<JsonResponse>> authorizedHandler) {
		String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
		String receivedToken = (authorization != null && authorization.startsWith(BEARER_PREFIX))
				? authorization.substring(BEARER_PREFIX.length()) : null;
		if (!Secrets.matches(expectedToken, receivedToken)) {
			eventLog.warning("administration-refused").with("remote", Request.getRemoteAddr(request)).write();
			response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
			write(response, callback,
					errorResponse(401, "A valid token is expected in 'Authorization: Bearer TOKEN'."));
			return;
		}
		BufferBudget.Reservation reservation = this.buffers.newReservation();
		BodyReader.read(request, maximumBytes, reservation)
			.thenApply((bytes) -> new String(bytes, StandardCharsets.UTF_8))
			.thenCompose((body) -> authorizedHandler.apply(body))
			.whenComplete((result, failure) -> {
				reservation.release();
				write(response, callback, (failure != null) ? toErrorResponse(failure) : result);
			});
	}

	private JsonResponse toErrorResponse(Throwable failure) {
		Throwable cause = CompletionFailures.unwrap(failure);
		if (cause instanceof ControlTimeoutException) {
			return errorResponse(504, cause.getMessage() + " It is unknown whether the request took effect;"
					+ " send the same request again.");
		}
		if (cause instanceof BodyTooLargeException) {
			return errorResponse(413, cause.getMessage());
		}
		if (cause instanceof UnconfirmedChangeException || cause instanceof BufferBudgetException) {
			return errorResponse(503, cause.getMessage() + " Send the same request again.");
		}
		if (cause instanceof UnknownZoneException) {
			return errorResponse(404, cause.getMessage());
		}
		if (cause instanceof IllegalArgumentException || cause instanceof IllegalStateException) {
			return errorResponse(400, cause.getMessage());
		}
		eventLog.failure("administration-request-failed", cause).write();
		return errorResponse(500, "The request failed: " + cause.getMessage());
	}

	private JsonResponse errorResponse(int status, @Nullable String message) {
		ObjectNode body = Json.object().put("error", message);
		return new JsonResponse(status, body);
	}

	private void write(Response response, Callback callback, JsonResponse jsonResponse) {
		JsonNode body = jsonResponse.body();
		response.setStatus(jsonResponse.status());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		byte[] bytes = (body + "\n").getBytes(StandardCharsets.UTF_8);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

}
