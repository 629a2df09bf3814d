package org.radishthread.daemon.administration;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.server.Request;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.RulePropagation;
import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.control.RuleSubmissionResult;
import org.radishthread.kernel.Assert;
import org.radishthread.kernel.Finding;
import org.radishthread.kernel.FindingsException;
import org.radishthread.membership.InstanceView;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ControlStatus;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.ReadHistory;
import org.radishthread.protocol.ReadStatus;
import org.radishthread.protocol.ReplaceReplica;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;
import org.radishthread.rules.RuleParser;

/**
 * Answers the requests of operators.
 */
final class OperatorRequests {

	private static final long ASK_MILLIS = 5_000;

	private static final long REPLACE_MILLIS = 20_000;

	private static final int HISTORY_LIMIT = 100;

	private static final int MAXIMUM_OPERATOR_LENGTH = 128;

	private static final String OPERATOR_HEADER = "Radishthread-Operator";

	private final ClusterService cluster;

	private final ControlClient control;

	private final RuleOperations ruleOperations;

	OperatorRequests(ClusterService cluster, ControlClient control, RuleOperations ruleOperations) {
		this.cluster = cluster;
		this.control = control;
		this.ruleOperations = ruleOperations;
	}

	CompletableFuture<JsonResponse> answer(Request request, String path, String body) {
		return switch (request.getMethod() + ' ' + path) {
			case "POST /rules" -> submitRules(request, body);
			case "GET /rules" -> CompletableFuture.completedFuture(rules());
			case "GET /rules/history" -> history();
			case "GET /status" -> status();
			case "GET /upstreams" -> upstreams();
			case "POST /control/initialize" -> initialize(body);
			case "POST /control/replace" -> replace(body);
			default -> CompletableFuture.completedFuture(error(404, "No such operation; see docs/OPERATIONS.md."));
		};
	}

	private JsonResponse error(int status, String message) {
		return new JsonResponse(status, Json.object().put("error", message));
	}

	// Rules

	private CompletableFuture<JsonResponse> submitRules(Request request, String content) {
		String operator = Optional.ofNullable(request.getHeaders().get(OPERATOR_HEADER)).orElse("unnamed");
		Assert.isTrue(operator.length() <= MAXIMUM_OPERATOR_LENGTH, "The operator's name is too long.");
		long revision;
		try {
			revision = RuleParser.parse("rules", content).revision();
		}
		catch (FindingsException ex) {
			return CompletableFuture.completedFuture(findings(ex));
		}
		SubmitRules submit = SubmitRules.newBuilder()
			.setRevision(revision)
			.setContent(content)
			.setSubmittedBy(operator)
			.build();
		return this.ruleOperations.submit(submit).thenApply(this::submitted);
	}

	private JsonResponse findings(FindingsException failure) {
		ObjectNode body = Json.object().put("verdict", "invalid");
		ArrayNode list = body.putArray("findings");
		for (Finding finding : failure.getFindings()) {
			list.addObject()
				.put("line", finding.line())
				.put("column", finding.column())
				.put("path", finding.path())
				.put("message", finding.message());
		}
		return new JsonResponse(422, body);
	}

	private JsonResponse submitted(RuleSubmissionResult submission) {
		if (submission.answer().getVerdict() != RulesVerdict.ACCEPTED) {
			return new JsonResponse(409, toJson(submission.answer()));
		}
		RulePropagation spread = submission.spread();
		return new JsonResponse(spread.isAppliedByMajority() ? 200 : 202,
				toJson(submission.answer()).put("inForceAt", spread.appliedCount())
					.put("instances", spread.instanceCount()));
	}

	private ObjectNode toJson(RulesAnswer answer) {
		return Json.object()
			.put("verdict", answer.getVerdict().name().toLowerCase(Locale.ROOT))
			.put("revision", answer.getRevision())
			.put("submittedBy", answer.getSubmittedBy())
			.put("acceptedAtMillis", answer.getAcceptedAtMillis())
			.put("currentRevision", answer.getCurrentRevision());
	}

	private JsonResponse rules() {
		return new JsonResponse(200,
				Json.object()
					.put("revision", this.cluster.view().rules().getRevision())
					.put("content", this.cluster.view().rules().getContent()));
	}

	private CompletableFuture<JsonResponse> history() {
		ControlRequest.Builder request = ControlRequest.newBuilder()
			.setReadHistory(ReadHistory.newBuilder().setLimit(HISTORY_LIMIT));
		return this.control.sendToLeader(request, ASK_MILLIS).thenApply((response) -> {
			ObjectNode body = Json.object();
			ArrayNode list = body.putArray("revisions");
			response.getHistory()
				.getEntriesList()
				.forEach((entry) -> list.addObject()
					.put("revision", entry.getRevision())
					.put("submittedBy", entry.getSubmittedBy())
					.put("acceptedAtMillis", entry.getAcceptedAtMillis()));
			return new JsonResponse(200, body);
		});
	}

	// Status

	private CompletableFuture<JsonResponse> status() {
		ControlRequest.Builder request = ControlRequest.newBuilder().setReadStatus(ReadStatus.getDefaultInstance());
		return this.control.sendToLeader(request, 1_000)
			.handle((response, failure) -> new JsonResponse(200,
					status((failure != null) ? ControlStatus.getDefaultInstance() : response.getStatus())));
	}

	private ObjectNode status(ControlStatus controlStatus) {
		ObjectNode body = Json.object()
			.put("instance", this.cluster.replica().getInstance())
			.put("state", this.cluster.servingState().wireName())
			.put("revision", this.cluster.view().rules().getRevision());
		ArrayNode list = body.putArray("instances");
		for (InstanceView view : this.cluster.view().instances()) {
			list.addObject()
				.put("name", view.instance().getName())
				.put("zone", view.instance().getZone())
				.put("live", view.live())
				.put("leaving", view.instance().getLeaving())
				.put("control", view.instance().getControl())
				.put("revision", view.ruleRevision())
				.put("administration", view.instance().getAdministrationAddress());
		}
		ObjectNode replica = body.putObject("control")
			.put("answeredBy", controlStatus.getReplica().getInstance())
			.put("role", controlStatus.getRole())
			.put("term", controlStatus.getTerm())
			.put("commitIndex", controlStatus.getCommitIndex())
			.put("snapshotIndex", controlStatus.getSnapshotIndex())
			.put("claims", controlStatus.getClaims());
		addReplicas(replica.putArray("voters"), controlStatus.getConfiguration().getVotersList());
		addReplicas(replica.putArray("learners"), controlStatus.getConfiguration().getLearnersList());
		return body;
	}

	private static void addReplicas(ArrayNode list, Iterable<ReplicaDescriptor> replicas) {
		replicas.forEach((replica) -> list.addObject()
			.put("instance", replica.getInstance())
			.put("replica", Long.toHexString(replica.getId())));
	}

	private CompletableFuture<JsonResponse> upstreams() {
		return this.cluster.upstreams().thenApply((upstreams) -> {
			ObjectNode body = Json.object();
			ArrayNode list = body.putArray("upstreams");
			upstreams.forEach((upstream) -> list.addObject()
				.put("name", upstream.getName())
				.put("service", upstream.getService())
				.put("address", upstream.getAddress())
				.put("zone", upstream.getZone())
				.put("slots", upstream.getSlots())
				.put("state", upstream.getState().name().toLowerCase(Locale.ROOT))
				.put("holder", upstream.getHolder()));
			return new JsonResponse(200, body);
		});
	}

	// Control group

	private JsonNode readJson(String body) {
		try {
			return Json.parse(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("The body is not valid JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	private CompletableFuture<JsonResponse> initialize(String body) {
		Initialize.Builder initialize = Initialize.newBuilder();
		for (JsonNode name : readJson(body).path("instances")) {
			initialize.addReplicas(replicaOf(name.asText()));
		}
		Assert.isTrue(initialize.getReplicasCount() % 2 == 1, "An odd number of instances is expected.");
		Assert.isTrue(this.cluster.replica().getId() != 0, "Ask an instance with the control role to found the group.");
		return this.control
			.sendTo(this.cluster.replica().getAddress(), ControlRequest.newBuilder().setInitialize(initialize),
					ASK_MILLIS)
			.thenApply(this::done);
	}

	private CompletableFuture<JsonResponse> replace(String body) {
		ReplicaDescriptor added = replicaOf(readJson(body).path("instance").asText());
		ControlRequest.Builder request = ControlRequest.newBuilder()
			.setReplace(ReplaceReplica.newBuilder().setAdded(added));
		return this.control.sendToLeader(request, REPLACE_MILLIS).thenApply(this::done);
	}

	private JsonResponse done(ControlResponse response) {
		if (response.hasRefused()) {
			return error(409, response.getRefused().getReason());
		}
		return new JsonResponse(200, Json.object().put("done", true));
	}

	private ReplicaDescriptor replicaOf(String instance) {
		InstanceRecord found = this.cluster.view()
			.instances()
			.stream()
			.map(InstanceView::instance)
			.filter((candidate) -> candidate.getName().equals(instance) && candidate.getReplica() != 0)
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"No live instance '" + instance + "' with the control role is known."));
		return ReplicaDescriptor.newBuilder()
			.setId(found.getReplica())
			.setInstance(instance)
			.setAddress(found.getPeerAddress())
			.build();
	}

}
