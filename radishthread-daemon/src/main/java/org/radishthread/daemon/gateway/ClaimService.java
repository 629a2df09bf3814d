package org.radishthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;

import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.ClaimCompletion;
import org.radishthread.protocol.ClaimRelease;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.RecordedAnswer;

/**
 * Claims once-only requests in the control group and records their responses there. A
 * once-only request carries an idempotency key and must not run twice. A claim is the
 * exclusive right to run it: a repeated request with the same key receives the recorded
 * response, or is refused while it is unknown whether the first one ran.
 */
public final class ClaimService {

	private static final long MAXIMUM_CLAIM_TIMEOUT_MILLIS = 3_000;

	private static final long RECORD_TIMEOUT_MILLIS = 60_000;

	private static final long MAXIMUM_RECORD_WAIT_MILLIS = 1_000;

	private final LeaderRequests leader;

	private final String instance;

	public ClaimService(DaemonSettings settings, ControlClient control) {
		this(settings.instance(), control::sendToLeader);
	}

	ClaimService(String instance, LeaderRequests leader) {
		this.instance = instance;
		this.leader = leader;
	}

	Claim newClaim(String service, String key, byte[] fingerprint) {
		ByteString keyDigest = ByteString.copyFrom(Sha256.of(service + '\n' + key));
		return new Claim(keyDigest, ByteString.copyFrom(fingerprint), ThreadLocalRandom.current().nextLong());
	}

	CompletableFuture<ClaimAnswer> acquire(Claim claim, long timeoutMillis) {
		ClaimRequest.Builder request = ClaimRequest.newBuilder()
			.setKey(claim.key())
			.setFingerprint(claim.fingerprint())
			.setOwner(this.instance)
			.setAttempt(claim.token());
		return send(Command.newBuilder().setClaim(request), Math.min(timeoutMillis, MAXIMUM_CLAIM_TIMEOUT_MILLIS))
			.thenApply(ControlResponse::getClaim);
	}

	// Records the response to a claimed request. It is sent to the caller only once the
	// returned future ends, so that every instance then knows it, but not much later if
	// the control group has no leader. A part of the remaining time is left for sending.
	CompletableFuture<Void> complete(Claim claim, RecordedAnswer response, long remainingMillis) {
		long waitMillis = Math.max(1, Math.min(MAXIMUM_RECORD_WAIT_MILLIS, remainingMillis / 2));
		return send(Command.newBuilder()
			.setCompletion(
					ClaimCompletion.newBuilder().setKey(claim.key()).setAttempt(claim.token()).setAnswer(response)),
				RECORD_TIMEOUT_MILLIS)
			.orTimeout(waitMillis, TimeUnit.MILLISECONDS)
			.handle((recorded, failure) -> null);
	}

	CompletableFuture<ControlResponse> release(Claim claim) {
		return send(
				Command.newBuilder()
					.setRelease(ClaimRelease.newBuilder().setKey(claim.key()).setAttempt(claim.token())),
				RECORD_TIMEOUT_MILLIS);
	}

	private CompletableFuture<ControlResponse> send(Command.Builder command, long timeoutMillis) {
		return this.leader.send(ControlRequest.newBuilder().setCommand(command), timeoutMillis);
	}

	/**
	 * Sends requests to the leader of the control group.
	 */
	@FunctionalInterface
	interface LeaderRequests {

		/**
		 * Sends a request, again until a response arrives or the timeout expires.
		 * @param request the request
		 * @param timeoutMillis how long to wait for the response, in milliseconds
		 * @return a future with the response
		 */
		CompletableFuture<ControlResponse> send(ControlRequest.Builder request, long timeoutMillis);

	}

	/**
	 * Claim of a request by this instance.
	 *
	 * @param key the digest of service and idempotency key
	 * @param fingerprint the digest of the request, by which the reuse of a key for
	 * another request is detected
	 * @param token a random number by which claims of the same key are distinguished
	 */
	record Claim(ByteString key, ByteString fingerprint, long token) {
	}

}
