package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.ByteString;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ClaimCompletion;
import org.radishthread.protocol.ClaimRelease;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.ReadRules;
import org.radishthread.protocol.ReplaceReplica;
import org.radishthread.protocol.SubmitRules;

/**
 * Runs control instances with a simulated network, simulated disks and virtual time.
 */
final class FakeControlCluster {

	private static final int FAULTY_MESSAGES_PER_ROUND = 12;

	final List<FakeControlInstance> instances = new ArrayList<>();

	final AgreementChecker checker = new AgreementChecker();

	private final Random random;

	private final List<AgreementMessage> messagesInTransit = new ArrayList<>();

	private final Set<String> cutLinks = new HashSet<>();

	private final Map<Long, ClaimRequest> issuedClaims = new HashMap<>();

	private final List<ControlResponse> responses = new ArrayList<>();

	private long nowMillis = 1_000;

	private long lastRequestId;

	private long lastAttempt;

	private long lastReplicaId;

	private boolean replacementPending;

	int lostMessages;

	FakeControlCluster(int size, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < size; i++) {
			addInstance();
		}
		this.instances.forEach((instance) -> instance.start(this.nowMillis));
		Initialize.Builder initialize = Initialize.newBuilder();
		this.instances.forEach((instance) -> initialize.addReplicas(instance.descriptor()));
		sendRequest(0, ControlRequest.newBuilder().setInitialize(initialize));
		run(1_000);
	}

	// Adds an instance with an empty disk, which is not started.
	FakeControlInstance addInstance() {
		FakeControlInstance instance = new FakeControlInstance("control-" + this.instances.size(), ++this.lastReplicaId,
				(minimum) -> minimum + this.random.nextInt((int) minimum), this.messagesInTransit::add,
				this.checker::recordAppliedRules, this.responses::add, this.checker::checkReplica);
		this.instances.add(instance);
		return instance;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	long nextReplicaId() {
		return ++this.lastReplicaId;
	}

	void requestJoin(FakeControlInstance instance) {
		for (int receiver = 0; receiver < this.instances.size(); receiver++) {
			sendRequest(receiver, ControlRequest.newBuilder()
				.setReplace(ReplaceReplica.newBuilder().setAdded(instance.descriptor())));
		}
	}

	// Selects the leader for even numbers, because faults of the leader have the
	// largest effect, and any instance otherwise.
	int pickInstance(int randomNumber) {
		for (int i = 0; i < this.instances.size() && randomNumber % 2 == 0; i++) {
			ControlReplica replica = this.instances.get(i).replica();
			if (replica != null && replica.role() == ReplicaRole.LEADER) {
				return i;
			}
		}
		return (randomNumber / 2) % this.instances.size();
	}

	void run(long durationMillis) {
		for (long endMillis = this.nowMillis + durationMillis; this.nowMillis < endMillis; this.nowMillis += 10) {
			this.instances.forEach((instance) -> instance.tick(this.nowMillis));
			deliverMessages();
		}
	}

	private void deliverMessages() {
		for (int rounds = 0; rounds < 4 && !this.messagesInTransit.isEmpty(); rounds++) {
			List<AgreementMessage> sentMessages = new ArrayList<>(this.messagesInTransit);
			this.messagesInTransit.clear();
			sentMessages.forEach(this::deliver);
		}
		checkResponses();
	}

	private void deliver(AgreementMessage message) {
		FakeControlInstance receiver = instanceWithId(message.getTo());
		FakeControlInstance sender = instanceWithId(message.getFrom());
		if (receiver == null || sender == null || this.cutLinks.contains(sender + ">" + receiver)) {
			return;
		}
		if (receiver.frozen) {
			// Messages to a frozen process remain in its receive buffer.
			this.messagesInTransit.add(message);
			return;
		}
		receiver.step((replica) -> replica.receive(message, this.nowMillis), this.nowMillis);
	}

	private FakeControlInstance instanceWithId(long replicaId) {
		return this.instances.stream().filter((instance) -> instance.replicaId == replicaId).findFirst().orElse(null);
	}

	void disruptNetwork() {
		for (int i = 0; i < FAULTY_MESSAGES_PER_ROUND && !this.messagesInTransit.isEmpty(); i++) {
			AgreementMessage message = this.messagesInTransit
				.remove(this.random.nextInt(this.messagesInTransit.size()));
			switch (this.random.nextInt(4)) {
				case 0 -> this.lostMessages++;
				case 1 -> {
					deliver(message);
					deliver(message);
				}
				case 2 -> this.messagesInTransit.add(message);
				default -> deliver(message);
			}
		}
		this.instances.forEach((instance) -> instance.tick(this.nowMillis));
		this.nowMillis += this.random.nextInt(60);
		checkResponses();
	}

	void cut(int fromIndex, int toIndex, boolean bothDirections) {
		this.cutLinks.add(this.instances.get(fromIndex) + ">" + this.instances.get(toIndex));
		if (bothDirections) {
			this.cutLinks.add(this.instances.get(toIndex) + ">" + this.instances.get(fromIndex));
		}
	}

	void isolate(int index) {
		for (int otherIndex = 0; otherIndex < this.instances.size(); otherIndex++) {
			cut(index, otherIndex, true);
		}
	}

	void restoreLinks() {
		this.cutLinks.clear();
	}

	void crash(int index, FakeLogStorage.CrashPoint crashPoint) {
		if (crashPoint == FakeLogStorage.CrashPoint.NONE) {
			this.instances.get(index).crash();
		}
		else {
			this.instances.get(index).storage.crashAtNextWrite(crashPoint);
		}
	}

	void restart(int index) {
		FakeControlInstance instance = this.instances.get(index);
		if (!instance.isRunning()) {
			this.checker.recordRestart(instance);
			instance.start(this.nowMillis);
		}
	}

	void refuseWrites(int index, FakeLogStorage.Refusal refusal) {
		this.instances.get(index).storage.refuse(refusal);
	}

	void setFrozen(int index, boolean frozen) {
		this.instances.get(index).frozen = frozen;
	}

	// A process that resumes may handle buffered messages and requests
	// before its first tick.
	void resumeAndRead(int index) {
		setFrozen(index, false);
		sendRead(index);
		sendClaim(index, this.random.nextInt(5));
		disruptNetwork();
	}

	void crashAndRestart(int index) {
		crash(index, FakeLogStorage.CrashPoint.NONE);
		restart(index);
		disruptNetwork();
	}

	// Loses a disk only if the previously lost one has been replaced, because the
	// loss of several disks may destroy committed entries.
	void loseDisk(int index) {
		if (this.replacementPending || !isGroupComplete()) {
			return;
		}
		this.replacementPending = true;
		FakeControlInstance instance = this.instances.get(index);
		instance.loseDisk(++this.lastReplicaId);
		this.checker.recordRestart(instance);
		instance.start(this.nowMillis);
	}

	void replaceLostReplicas() {
		for (FakeControlInstance instance : this.instances) {
			for (int receiver = 0; receiver < this.instances.size(); receiver++) {
				sendRequest(receiver, ControlRequest.newBuilder()
					.setReplace(ReplaceReplica.newBuilder().setAdded(instance.descriptor())));
			}
		}
		this.replacementPending = !isGroupComplete();
	}

	// Returns whether a majority of the replicas has a configuration that consists
	// of exactly the current replicas.
	private boolean isGroupComplete() {
		return this.instances.stream().filter(this::hasCompleteConfiguration).count() * 2 > this.instances.size();
	}

	private boolean hasCompleteConfiguration(FakeControlInstance instance) {
		ControlReplica replica = instance.replica();
		if (replica == null || replica.status(0).getConfiguration().hasReplacement()) {
			return false;
		}
		Configuration configuration = replica.status(0).getConfiguration();
		return configuration.getVotersCount() == this.instances.size()
				&& configuration.getVotersList().stream().allMatch((voter) -> instanceWithId(voter.getId()) != null);
	}

	long sendRequest(int index, ControlRequest.Builder request) {
		ControlRequest identifiedRequest = request.setId(++this.lastRequestId).build();
		this.checker.recordRequest(identifiedRequest);
		this.instances.get(index).handleRequest(identifiedRequest, this.nowMillis);
		checkResponses();
		return identifiedRequest.getId();
	}

	private void sendCommand(int index, Command.Builder command) {
		sendRequest(index, ControlRequest.newBuilder().setCommand(command));
	}

	void submitRules(int index, long revisionOffset, String content) {
		submitRevision(index, Math.max(1, this.checker.acceptedRevision + revisionOffset), content);
	}

	private void submitRevision(int index, long revision, String content) {
		sendCommand(index,
				Command.newBuilder()
					.setSubmitRules(SubmitRules.newBuilder()
						.setRevision(revision)
						.setContent(content + revision)
						.setSubmittedBy(content)));
	}

	void sendRead(int index) {
		sendRequest(index, ControlRequest.newBuilder().setReadRules(ReadRules.getDefaultInstance()));
	}

	void sendClaim(int index, int keyNumber) {
		ByteString key = ByteString.copyFromUtf8("key-" + keyNumber);
		ClaimRequest claim = ClaimRequest.newBuilder()
			.setKey(key)
			.setFingerprint(key)
			.setOwner("gateway")
			.setAttempt(++this.lastAttempt)
			.build();
		this.issuedClaims.put(claim.getAttempt(), claim);
		sendCommand(index, Command.newBuilder().setClaim(claim));
	}

	void resendClaim(int index) {
		if (!this.issuedClaims.isEmpty()) {
			sendCommand(index, Command.newBuilder().setClaim(pickClaim()));
		}
	}

	private ClaimRequest pickClaim() {
		List<ClaimRequest> candidates = new ArrayList<>(this.issuedClaims.values());
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	// Records the response of a request that ran; releases the claim of
	// one that did not.
	void completeOrReleaseClaim(int index) {
		if (this.issuedClaims.isEmpty()) {
			return;
		}
		ClaimRequest claim = pickClaim();
		if (this.checker.hasRun(claim.getKey(), claim.getAttempt())) {
			this.checker.recordCompletion(claim.getKey(), this.checker.recordedResponseOf(claim.getKey()));
			sendCommand(index,
					Command.newBuilder()
						.setCompletion(ClaimCompletion.newBuilder()
							.setKey(claim.getKey())
							.setAttempt(claim.getAttempt())
							.setAnswer(this.checker.recordedResponseOf(claim.getKey()))));
			return;
		}
		this.checker.recordRelease(claim.getAttempt());
		sendCommand(index, Command.newBuilder()
			.setRelease(ClaimRelease.newBuilder().setKey(claim.getKey()).setAttempt(claim.getAttempt())));
	}

	private void checkResponses() {
		List<ControlResponse> receivedResponses = new ArrayList<>(this.responses);
		this.responses.clear();
		receivedResponses.forEach((response) -> this.checker.checkResponse(response, this.nowMillis));
		for (FakeControlInstance instance : this.instances) {
			ControlReplica replica = instance.replica();
			if (replica != null) {
				this.checker.checkFreshness(instance, replica, this.nowMillis);
			}
		}
	}

	int checkedFreshnessCount() {
		return this.checker.checkedFreshnessCount;
	}

	void repairAllFaults() {
		restoreLinks();
		for (int i = 0; i < this.instances.size(); i++) {
			setFrozen(i, false);
			refuseWrites(i, FakeLogStorage.Refusal.NONE);
			crash(i, FakeLogStorage.CrashPoint.NONE);
			restart(i);
		}
		for (int i = 0; i < 10 && !isGroupComplete(); i++) {
			run(2_000);
			replaceLostReplicas();
		}
		run(3_000);
	}

	boolean acceptsRules() {
		long nextRevision = 1 + this.instances.stream()
			.mapToLong((instance) -> (instance.replica() != null) ? instance.replica().rules().getRevision() : 0)
			.max()
			.orElse(0);
		for (int i = 0; i < this.instances.size(); i++) {
			submitRevision(i, nextRevision, "last-");
		}
		run(3_000);
		return this.checker.acceptedRevision == nextRevision;
	}

	// Releases every claim whose request did not run. Its key must then be
	// available again, even after a delayed duplicate of the claim has arrived.
	boolean canClaimReleasedKeys() {
		for (ClaimRequest claim : List.copyOf(this.issuedClaims.values())) {
			if (!this.checker.hasRun(claim.getKey(), claim.getAttempt())) {
				this.checker.recordRelease(claim.getAttempt());
				sendCommandToAll(Command.newBuilder()
					.setRelease(ClaimRelease.newBuilder().setKey(claim.getKey()).setAttempt(claim.getAttempt())));
			}
		}
		run(500);
		this.issuedClaims.values().forEach((claim) -> sendCommandToAll(Command.newBuilder().setClaim(claim)));
		run(500);
		for (int key = 0; key < 5; key++) {
			sendClaimToAll(key);
		}
		run(500);
		return this.checker.executedKeyCount() == 5;
	}

	private void sendClaimToAll(int key) {
		long attempt = this.lastAttempt + 1;
		for (int i = 0; i < this.instances.size(); i++) {
			this.lastAttempt = attempt - 1;
			sendClaim(i, key);
		}
	}

	private void sendCommandToAll(Command.Builder command) {
		for (int i = 0; i < this.instances.size(); i++) {
			sendCommand(i, command);
		}
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		for (FakeControlInstance instance : this.instances) {
			ControlReplica replica = instance.replica();
			text.append(instance).append('#').append(instance.replicaId).append(": ");
			text.append((replica != null) ? replica.status(0) : "down").append('\n');
		}
		return text.toString();
	}

	boolean allInstancesApplyAcceptedRules() {
		return this.instances.stream()
			.allMatch((instance) -> instance.replica() != null
					&& instance.replica().rules().getRevision() == this.checker.acceptedRevision);
	}

}
