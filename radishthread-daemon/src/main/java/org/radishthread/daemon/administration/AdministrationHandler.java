package org.radishthread.daemon.administration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.UnconfirmedChangeException;
import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.control.ControlTimeoutException;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.settings.Secrets;
import org.radishthread.kernel.EventLog;
import org.radishthread.membership.ServingState;
import org.radishthread.rules.RuleParser;

/**
 * Serves operators, announcements of upstreams, health checks and metrics.
 */
public final class AdministrationHandler extends Handler.Abstract.NonBlocking {

	private static final EventLog eventLog = EventLog.of(AdministrationHandler.class);

	private static final String BEARER = "Bearer ";

	private static final String ANNOUNCEMENTS = "/announcements/";

	private static final int MAXIMUM_ANNOUNCEMENT_BYTES = 8 * 1024;

	private final Secrets secrets;

	private final ClusterService cluster;

	private final OperatorRequests operators;

	private final AnnouncementRequests announcements;

	private final MetricsPage metrics;

	public AdministrationHandler(Secrets secrets, ClusterService cluster, ControlClient control, RuleOperations rules,
			MetricsPage metrics) {
		this.secrets = secrets;
		this.cluster = cluster;
		this.operators = new OperatorRequests(cluster, control, rules);
		this.announcements = new AnnouncementRequests(cluster);
		this.metrics = metrics;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String path = request.getHttpURI().getCanonicalPath();
		if (path.startsWith("/health/") || path.equals("/metrics")) {
			answerOpen(path, response, callback);
		}
		else if (path.startsWith(ANNOUNCEMENTS)) {
			ifAllowed(this.secrets.announcement(), request, response, callback, MAXIMUM_ANNOUNCEMENT_BYTES,
					(body) -> this.announcements.answer(request.getMethod(), path.substring(ANNOUNCEMENTS.length()),
							body));
		}
		else {
			ifAllowed(this.secrets.administration(), request, response, callback, RuleParser.MAXIMUM_BYTES + 1,
					(body) -> this.operators.answer(request, path, body));
		}
		return true;
	}

	private void answerOpen(String path, Response response, Callback callback) {
		switch (path) {
			case "/health/live" -> writeText(response, callback, 200, "live\n");
			case "/health/ready" -> {
				ServingState state = this.cluster.servingState();
				writeText(response, callback, (state == ServingState.READY) ? 200 : 503, state.wireName() + "\n");
			}
			case "/metrics" -> writeText(response, callback, 200, this.metrics.text());
			default -> writeText(response, callback, 404, "not found\n");
		}
	}

	private static void writeText(Response response, Callback callback, int status, String text) {
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
		response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
	}

	private void ifAllowed(String token, Request request, Response response, Callback callback, int maximumBytes,
			Function<String, CompletableFuture<JsonResponse>> action) {
		String given = request.getHeaders().get(HttpHeader.AUTHORIZATION);
		String bearer = (given != null && given.startsWith(BEARER)) ? given.substring(BEARER.length()) : null;
		if (!Secrets.matches(token, bearer)) {
			eventLog.warning("administration-refused").with("remote", Request.getRemoteAddr(request)).write();
			response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
			write(response, callback, error(401, "A valid token is expected in 'Authorization: Bearer TOKEN'."));
			return;
		}
		Content.Source.asByteArrayAsync(request, maximumBytes)
			.thenApply((bytes) -> new String(bytes, StandardCharsets.UTF_8))
			.thenCompose((body) -> action.apply(body))
			.whenComplete(
					(answer, failure) -> write(response, callback, (failure != null) ? explain(failure) : answer));
	}

	private JsonResponse explain(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof ControlTimeoutException) {
			return error(504, cause.getMessage() + " It is unknown whether the request took effect;"
					+ " send the same request again.");
		}
		if (cause instanceof UnconfirmedChangeException) {
			return error(503, cause.getMessage() + " Send the same request again.");
		}
		if (cause instanceof IllegalArgumentException || cause instanceof IllegalStateException) {
			return error(400, cause.getMessage());
		}
		eventLog.failure("administration-failed", cause).write();
		return error(500, "The request failed: " + cause.getMessage());
	}

	private JsonResponse error(int status, @Nullable String message) {
		ObjectNode body = Json.object().put("error", message);
		return new JsonResponse(status, body);
	}

	private void write(Response response, Callback callback, JsonResponse answer) {
		JsonNode body = answer.body();
		response.setStatus(answer.status());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		byte[] bytes = (body + "\n").getBytes(StandardCharsets.UTF_8);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

}
