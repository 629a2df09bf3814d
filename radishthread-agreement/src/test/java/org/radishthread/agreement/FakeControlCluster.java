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
 * Control instances on a fake network and fake disks in virtual time.
 */
final class FakeControlCluster {

	private static final int DISTURBED_MESSAGES = 12;

	final List<FakeControlInstance> instances = new ArrayList<>();

	final AgreementOracle oracle = new AgreementOracle();

	private final Random random;

	private final List<AgreementMessage> network = new ArrayList<>();

	private final Set<String> cuts = new HashSet<>();

	private final Map<Long, ClaimRequest> openClaims = new HashMap<>();

	private final List<ControlResponse> answers = new ArrayList<>();

	private long now = 1_000;

	private long lastId;

	private long lastAttempt;

	private long lastIdentity;

	private boolean diskLost;

	int steps;

	FakeControlCluster(int size, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < size; i++) {
			this.instances.add(new FakeControlInstance("control-" + i, ++this.lastIdentity,
					(minimum) -> minimum + this.random.nextInt((int) minimum), this.network::add, this.oracle::applied,
					this.answers::add, this.oracle::observe));
		}
		this.instances.forEach((instance) -> instance.start(this.now));
		Initialize.Builder initialize = Initialize.newBuilder();
		this.instances.forEach((instance) -> initialize.addReplicas(instance.descriptor()));
		ask(0, ControlRequest.newBuilder().setInitialize(initialize));
		run(1_000);
	}

	// Chooses an instance, often the leader, on whom most depends.
	int pick(int number) {
		for (int i = 0; i < this.instances.size() && number % 2 == 0; i++) {
			ControlReplica group = this.instances.get(i).group();
			if (group != null && group.role() == ReplicaRole.LEADER) {
				return i;
			}
		}
		return (number / 2) % this.instances.size();
	}

	// Time and network

	void run(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += 10) {
			this.instances.forEach((instance) -> instance.step((it) -> it.tick(this.now), this.now));
			deliverAll();
		}
	}

	private void deliverAll() {
		for (int rounds = 0; rounds < 4 && !this.network.isEmpty(); rounds++) {
			List<AgreementMessage> batch = new ArrayList<>(this.network);
			this.network.clear();
			batch.forEach(this::deliver);
		}
		takeAnswers();
	}

	private void deliver(AgreementMessage message) {
		FakeControlInstance target = byIdentity(message.getTo());
		FakeControlInstance source = byIdentity(message.getFrom());
		if (target == null || source == null || this.cuts.contains(source + ">" + target)) {
			return;
		}
		if (target.frozen) {
			// What a frozen process has not read waits for it.
			this.network.add(message);
			return;
		}
		target.step((it) -> it.receive(message, this.now), this.now);
	}

	private FakeControlInstance byIdentity(long identity) {
		return this.instances.stream().filter((it) -> it.identity == identity).findFirst().orElse(null);
	}

	void disturb() {
		for (int i = 0; i < DISTURBED_MESSAGES && !this.network.isEmpty(); i++) {
			AgreementMessage message = this.network.remove(this.random.nextInt(this.network.size()));
			switch (this.random.nextInt(4)) {
				case 0 -> this.steps++;
				case 1 -> {
					deliver(message);
					deliver(message);
				}
				case 2 -> this.network.add(message);
				default -> deliver(message);
			}
		}
		this.instances.forEach((instance) -> instance.step((it) -> it.tick(this.now), this.now));
		this.now += this.random.nextInt(60);
		takeAnswers();
	}

	void cut(int from, int to, boolean bothWays) {
		this.cuts.add(this.instances.get(from) + ">" + this.instances.get(to));
		if (bothWays) {
			this.cuts.add(this.instances.get(to) + ">" + this.instances.get(from));
		}
	}

	void isolate(int index) {
		for (int other = 0; other < this.instances.size(); other++) {
			cut(index, other, true);
		}
	}

	void heal() {
		this.cuts.clear();
	}

	// Faults

	void crash(int index, FakeDisk.Crash when) {
		if (when == FakeDisk.Crash.NONE) {
			this.instances.get(index).crash();
		}
		else {
			this.instances.get(index).disk.crashAtNextWrite(when);
		}
	}

	void restart(int index) {
		FakeControlInstance instance = this.instances.get(index);
		if (!instance.isRunning()) {
			this.oracle.restarted(instance);
			instance.start(this.now);
		}
	}

	void freeze(int index, boolean frozen) {
		this.instances.get(index).frozen = frozen;
	}

	// A process that wakes acts on what waits for it before it looks at the time.
	void wakeAndRead(int index) {
		freeze(index, false);
		read(index);
		claim(index, this.random.nextInt(5));
		disturb();
	}

	void bounce(int index) {
		crash(index, FakeDisk.Crash.NONE);
		restart(index);
		disturb();
	}

	// A disk may be lost only while every other member of the group has its own.
	void loseDisk(int index) {
		if (this.diskLost || !groupIsWhole()) {
			return;
		}
		this.diskLost = true;
		FakeControlInstance instance = this.instances.get(index);
		instance.loseDisk(++this.lastIdentity);
		this.oracle.restarted(instance);
		instance.start(this.now);
	}

	void replaceLost() {
		for (FakeControlInstance instance : this.instances) {
			for (int asked = 0; asked < this.instances.size(); asked++) {
				ask(asked, ControlRequest.newBuilder()
					.setReplace(ReplaceReplica.newBuilder().setAdded(instance.descriptor())));
			}
		}
		this.diskLost = !groupIsWhole();
	}

	// Whether a majority has committed a group of just the present identities.
	private boolean groupIsWhole() {
		return this.instances.stream().filter(this::knowsWholeGroup).count() * 2 > this.instances.size();
	}

	private boolean knowsWholeGroup(FakeControlInstance instance) {
		ControlReplica group = instance.group();
		if (group == null || group.status(0).getConfiguration().hasReplacement()) {
			return false;
		}
		Configuration configuration = group.status(0).getConfiguration();
		return configuration.getVotersCount() == this.instances.size()
				&& configuration.getVotersList().stream().allMatch((voter) -> byIdentity(voter.getId()) != null);
	}

	// Requests

	long ask(int index, ControlRequest.Builder request) {
		ControlRequest asked = request.setId(++this.lastId).build();
		this.oracle.asked(asked);
		this.instances.get(index).request(asked, this.now);
		takeAnswers();
		return asked.getId();
	}

	private void command(int index, Command.Builder command) {
		ask(index, ControlRequest.newBuilder().setCommand(command));
	}

	void submit(int index, long ahead, String content) {
		submitRevision(index, Math.max(1, this.oracle.acceptedRevision + ahead), content);
	}

	private void submitRevision(int index, long revision, String content) {
		command(index,
				Command.newBuilder()
					.setSubmitRules(SubmitRules.newBuilder()
						.setRevision(revision)
						.setContent(content + revision)
						.setSubmittedBy(content)));
	}

	void read(int index) {
		ask(index, ControlRequest.newBuilder().setReadRules(ReadRules.getDefaultInstance()));
	}

	void claim(int index, int keyNumber) {
		ByteString key = ByteString.copyFromUtf8("key-" + keyNumber);
		ClaimRequest claim = ClaimRequest.newBuilder()
			.setKey(key)
			.setFingerprint(key)
			.setOwner("gateway")
			.setAttempt(++this.lastAttempt)
			.build();
		this.openClaims.put(claim.getAttempt(), claim);
		command(index, Command.newBuilder().setClaim(claim));
	}

	void repeatClaim(int index) {
		if (!this.openClaims.isEmpty()) {
			command(index, Command.newBuilder().setClaim(pickOpenClaim()));
		}
	}

	private ClaimRequest pickOpenClaim() {
		List<ClaimRequest> open = new ArrayList<>(this.openClaims.values());
		return open.get(this.random.nextInt(open.size()));
	}

	// An owner gives up a claim that it did not use, or records how its run ended.
	void settleClaim(int index) {
		if (this.openClaims.isEmpty()) {
			return;
		}
		ClaimRequest claim = pickOpenClaim();
		if (this.oracle.hasRun(claim.getKey(), claim.getAttempt())) {
			this.oracle.completing(claim.getKey(), this.oracle.answerOf(claim.getKey()));
			command(index,
					Command.newBuilder()
						.setCompletion(ClaimCompletion.newBuilder()
							.setKey(claim.getKey())
							.setAttempt(claim.getAttempt())
							.setAnswer(this.oracle.answerOf(claim.getKey()))));
			return;
		}
		this.oracle.releasing(claim.getAttempt());
		command(index, Command.newBuilder()
			.setRelease(ClaimRelease.newBuilder().setKey(claim.getKey()).setAttempt(claim.getAttempt())));
	}

	private void takeAnswers() {
		List<ControlResponse> taken = new ArrayList<>(this.answers);
		this.answers.clear();
		taken.forEach(this.oracle::answered);
	}

	// Recovery

	void repairEverything() {
		heal();
		for (int i = 0; i < this.instances.size(); i++) {
			freeze(i, false);
			crash(i, FakeDisk.Crash.NONE);
			restart(i);
		}
		for (int i = 0; i < 10 && !groupIsWhole(); i++) {
			run(2_000);
			replaceLost();
		}
		run(3_000);
	}

	boolean acceptsRules() {
		long next = 1 + this.instances.stream()
			.mapToLong((instance) -> (instance.group() != null) ? instance.group().rules().getRevision() : 0)
			.max()
			.orElse(0);
		for (int i = 0; i < this.instances.size(); i++) {
			submitRevision(i, next, "last-");
		}
		run(3_000);
		return this.oracle.acceptedRevision == next;
	}

	// Gives up every claim that did not run; its key must be free then, for good.
	boolean freesClaims() {
		for (ClaimRequest claim : List.copyOf(this.openClaims.values())) {
			if (!this.oracle.hasRun(claim.getKey(), claim.getAttempt())) {
				this.oracle.releasing(claim.getAttempt());
				commandAll(Command.newBuilder()
					.setRelease(ClaimRelease.newBuilder().setKey(claim.getKey()).setAttempt(claim.getAttempt())));
			}
		}
		run(500);
		this.openClaims.values().forEach((late) -> commandAll(Command.newBuilder().setClaim(late)));
		run(500);
		for (int key = 0; key < 5; key++) {
			claimAll(key);
		}
		run(500);
		return this.oracle.ranKeys() == 5;
	}

	private void claimAll(int key) {
		long attempt = this.lastAttempt + 1;
		for (int i = 0; i < this.instances.size(); i++) {
			this.lastAttempt = attempt - 1;
			claim(i, key);
		}
	}

	private void commandAll(Command.Builder command) {
		for (int i = 0; i < this.instances.size(); i++) {
			command(i, command);
		}
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		for (FakeControlInstance instance : this.instances) {
			ControlReplica group = instance.group();
			text.append(instance).append('#').append(instance.identity).append(": ");
			text.append((group != null) ? group.status(0) : "down").append('\n');
		}
		return text.toString();
	}

	boolean allInForce() {
		return this.instances.stream()
			.allMatch((it) -> it.group() != null && it.group().rules().getRevision() == this.oracle.acceptedRevision);
	}

}
