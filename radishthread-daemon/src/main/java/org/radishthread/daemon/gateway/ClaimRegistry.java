package org.radishthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

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
 * Claims requests that run at most once, and records how they ended.
 */
public final class ClaimRegistry {

	private static final long CLAIM_TIMEOUT_MILLIS = 3_000;

	private static final long RECORD_TIMEOUT_MILLIS = 60_000;

	private final ControlClient control;

	private final String instance;

	public ClaimRegistry(DaemonSettings settings, ControlClient control) {
		this.control = control;
		this.instance = settings.instance();
	}

	Claim newClaim(String service, String key, byte[] fingerprint) {
		ByteString digest = ByteString.copyFrom(Sha256.of(service + '\n' + key));
		return new Claim(digest, ByteString.copyFrom(fingerprint), ThreadLocalRandom.current().nextLong());
	}

	CompletableFuture<ClaimAnswer> take(Claim claim, long timeoutMillis) {
		ClaimRequest.Builder request = ClaimRequest.newBuilder()
			.setKey(claim.key())
			.setFingerprint(claim.fingerprint())
			.setOwner(this.instance)
			.setAttempt(claim.attempt());
		return send(Command.newBuilder().setClaim(request), Math.min(timeoutMillis, CLAIM_TIMEOUT_MILLIS))
			.thenApply(ControlResponse::getClaim);
	}

	CompletableFuture<ControlResponse> complete(Claim claim, RecordedAnswer answer) {
		return send(Command.newBuilder()
			.setCompletion(
					ClaimCompletion.newBuilder().setKey(claim.key()).setAttempt(claim.attempt()).setAnswer(answer)),
				RECORD_TIMEOUT_MILLIS);
	}

	CompletableFuture<ControlResponse> release(Claim claim) {
		return send(
				Command.newBuilder()
					.setRelease(ClaimRelease.newBuilder().setKey(claim.key()).setAttempt(claim.attempt())),
				RECORD_TIMEOUT_MILLIS);
	}

	private CompletableFuture<ControlResponse> send(Command.Builder command, long timeoutMillis) {
		return this.control.sendToLeader(ControlRequest.newBuilder().setCommand(command), timeoutMillis);
	}

	/**
	 * One try to run a request.
	 *
	 * @param key the digest of service and idempotency key
	 * @param fingerprint the digest of the request
	 * @param attempt a random number that names this try
	 */
	record Claim(ByteString key, ByteString fingerprint, long attempt) {
	}

}
