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
import org.radishthread.daemon.control.EvacuationOperations;
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
 * Handles the requests of operators: rules, status, upstreams, availability zones and the
 * members of the control group.
 */
final class OperatorRequests {

	private static final long REQUEST_TIMEOUT_MILLIS = 5_000;

	private static final long REPLACE_TIMEOUT_MILLIS = 20_000;

	private static final int MAXIMUM_HISTORY_ENTRIES = 100;

	private static final int MAXIMUM_OPERATOR_NAME_LENGTH = 128;

	private static final String OPERATOR_HEADER = "Radishthread-Operator";

	private final ClusterService cluster;

	private final ControlClient controlClient;

	private final RuleOperations ruleOperations;

	private final ZoneRequests zoneRequests;

	OperatorRequests(ClusterService cluster, ControlClient controlClient, RuleOperations ruleOperations,
			EvacuationOperations evacuationOperations) {
		this.cluster = cluster;
		this.controlClient = controlClient;
		this.ruleOperations = ruleOperations;
		this.zoneRequests = new ZoneRequests(cluster, evacuationOperations);
	}

	CompletableFuture<JsonResponse> handle(Request request, String path, String body) {
		return switch (request.getMethod() + ' ' + path) {
			case "POST /rules" -> submitRules(request, body);
			case "GET /rules" -> CompletableFuture.completedFuture(readRules());
			case "GET /rules/history" -> readHistory();
			case "GET /status" -> readStatus();
			case "GET /upstreams" -> listUpstreams();
			case "GET /zones" -> this.zoneRequests.list();
			case "POST /zones/evacuate" -> this.zoneRequests.order(body, true, operatorName(request));
			case "POST /zones/restore" -> this.zoneRequests.order(body, false, operatorName(request));
			case "POST /control/initialize" -> initialize(body);
			case "POST /control/replace" -> replace(body);
			default ->
				CompletableFuture.completedFuture(errorResponse(404, "No such operation; see docs/OPERATIONS.md."));
		};
	}

	private JsonResponse errorResponse(int status, String message) {
		return new JsonResponse(status, Json.object().put("error", message));
	}

	private static String operatorName(Request request) {
		String operator = Optional.ofNullable(request.getHeaders().get(OPERATOR_HEADER)).orElse("unnamed");
		Assert.isTrue(operator.length() <= MAXIMUM_OPERATOR_NAME_LENGTH, "The operator's name is too long.");
		return operator;
	}

	private CompletableFuture<JsonResponse> submitRules(Request request, String content) {
		String operator = operatorName(request);
		long revision;
		try {
			revision = RuleParser.parse("rules", content).revision();
		}
		catch (FindingsException ex) {
			return CompletableFuture.completedFuture(toFindingsResponse(ex));
		}
		SubmitRules submit = SubmitRules.newBuilder()
			.setRevision(revision)
			.setContent(content)
			.setSubmittedBy(operator)
			.build();
		return this.ruleOperations.submit(submit).thenApply(this::toSubmissionResponse);
	}

	private JsonResponse toFindingsResponse(FindingsException failure) {
		ObjectNode body = Json.object().put("verdict", "invalid");
		ArrayNode findingArray = body.putArray("findings");
		for (Finding finding : failure.getFindings()) {
			findingArray.addObject()
				.put("line", finding.line())
				.put("column", finding.column())
				.put("path", finding.path())
				.put("message", finding.message());
		}
		return new JsonResponse(422, body);
	}

	private JsonResponse toSubmissionResponse(RuleSubmissionResult result) {
		if (result.decision().getVerdict() != RulesVerdict.ACCEPTED) {
			return new JsonResponse(409, toJson(result.decision()));
		}
		RulePropagation propagation = result.propagation();
		return new JsonResponse(propagation.isAppliedByMajority() ? 200 : 202,
				toJson(result.decision()).put("inForceAt", propagation.appliedCount())
					.put("instances", propagation.instanceCount()));
	}

	private ObjectNode toJson(RulesAnswer decision) {
		return Json.object()
			.put("verdict", decision.getVerdict().name().toLowerCase(Locale.ROOT))
			.put("revision", decision.getRevision())
			.put("submittedBy", decision.getSubmittedBy())
			.put("acceptedAtMillis", decision.getAcceptedAtMillis())
			.put("currentRevision", decision.getCurrentRevision());
	}

	private JsonResponse readRules() {
		return new JsonResponse(200,
				Json.object()
					.put("revision", this.cluster.view().rules().getRevision())
					.put("content", this.cluster.view().rules().getContent()));
	}

	private CompletableFuture<JsonResponse> readHistory() {
		ControlRequest.Builder request = ControlRequest.newBuilder()
			.setReadHistory(ReadHistory.newBuilder().setLimit(MAXIMUM_HISTORY_ENTRIES));
		return this.controlClient.sendToLeader(request, REQUEST_TIMEOUT_MILLIS).thenApply((response) -> {
			ObjectNode body = Json.object();
			ArrayNode revisionArray = body.putArray("revisions");
			response.getHistory()
				.getEntriesList()
				.forEach((entry) -> revisionArray.addObject()
					.put("revision", entry.getRevision())
					.put("submittedBy", entry.getSubmittedBy())
					.put("acceptedAtMillis", entry.getAcceptedAtMillis()));
			return new JsonResponse(200, body);
		});
	}

	private CompletableFuture<JsonResponse> readStatus() {
		ControlRequest.Builder request = ControlRequest.newBuilder().setReadStatus(ReadStatus.getDefaultInstance());
		return this.controlClient.sendToLeader(request, 1_000)
			.handle((response, failure) -> new JsonResponse(200,
					toJson((failure != null) ? ControlStatus.getDefaultInstance() : response.getStatus())));
	}

	private ObjectNode toJson(ControlStatus controlStatus) {
		ObjectNode body = Json.object()
			.put("instance", this.cluster.replica().getInstance())
			.put("state", this.cluster.servingState().wireName())
			.put("revision", this.cluster.view().rules().getRevision());
		ArrayNode instanceArray = body.putArray("instances");
		for (InstanceView view : this.cluster.view().instances()) {
			instanceArray.addObject()
				.put("name", view.instance().getName())
				.put("zone", view.instance().getZone())
				.put("live", view.live())
				.put("leaving", view.instance().getLeaving())
				.put("control", view.instance().getControl())
				.put("revision", view.ruleRevision())
				.put("administration", view.instance().getAdministrationAddress());
		}
		ObjectNode controlJson = body.putObject("control")
			.put("answeredBy", controlStatus.getReplica().getInstance())
			.put("role", controlStatus.getRole())
			.put("term", controlStatus.getTerm())
			.put("commitIndex", controlStatus.getCommitIndex())
			.put("snapshotIndex", controlStatus.getSnapshotIndex())
			.put("claims", controlStatus.getClaims());
		addReplicas(controlJson.putArray("voters"), controlStatus.getConfiguration().getVotersList());
		addReplicas(controlJson.putArray("learners"), controlStatus.getConfiguration().getLearnersList());
		return body;
	}

	private static void addReplicas(ArrayNode replicaArray, Iterable<ReplicaDescriptor> replicas) {
		replicas.forEach((replica) -> replicaArray.addObject()
			.put("instance", replica.getInstance())
			.put("replica", Long.toHexString(replica.getId())));
	}

	private CompletableFuture<JsonResponse> listUpstreams() {
		return this.cluster.upstreams().thenApply((upstreams) -> {
			ObjectNode body = Json.object();
			ArrayNode upstreamArray = body.putArray("upstreams");
			upstreams.forEach((upstream) -> upstreamArray.addObject()
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
			initialize.addReplicas(findReplica(name.asText()));
		}
		Assert.isTrue(initialize.getReplicasCount() % 2 == 1, "An odd number of instances is expected.");
		Assert.isTrue(this.cluster.replica().getId() != 0, "Ask an instance with the control role to found the group.");
		return this.controlClient
			.sendTo(this.cluster.replica().getAddress(), ControlRequest.newBuilder().setInitialize(initialize),
					REQUEST_TIMEOUT_MILLIS)
			.thenApply(this::toConfirmation);
	}

	private CompletableFuture<JsonResponse> replace(String body) {
		ReplicaDescriptor addedReplica = findReplica(readJson(body).path("instance").asText());
		ControlRequest.Builder request = ControlRequest.newBuilder()
			.setReplace(ReplaceReplica.newBuilder().setAdded(addedReplica));
		return this.controlClient.sendToLeader(request, REPLACE_TIMEOUT_MILLIS).thenApply(this::toConfirmation);
	}

	private JsonResponse toConfirmation(ControlResponse response) {
		if (response.hasRefused()) {
			return errorResponse(409, response.getRefused().getReason());
		}
		return new JsonResponse(200, Json.object().put("done", true));
	}

	private ReplicaDescriptor findReplica(String instance) {
		InstanceRecord instanceRecord = this.cluster.view()
			.instances()
			.stream()
			.map(InstanceView::instance)
			.filter((candidate) -> candidate.getName().equals(instance) && candidate.getReplica() != 0)
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"No live instance '" + instance + "' with the control role is known."));
		return ReplicaDescriptor.newBuilder()
			.setId(instanceRecord.getReplica())
			.setInstance(instance)
			.setAddress(instanceRecord.getPeerAddress())
			.build();
	}

}
