package org.radishthread.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.RecordedAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimService}: when the response to a claimed request may be sent.
 */
class ClaimServiceTests {

	private final List<ControlRequest> requests = new ArrayList<>();

	private final CompletableFuture<ControlResponse> leaderResponse = new CompletableFuture<>();

	private final ClaimService claims = new ClaimService("i1", (request, timeoutMillis) -> {
		this.requests.add(request.build());
		return this.leaderResponse;
	});

	private CompletableFuture<Void> complete(long remainingMillis) {
		return this.claims.complete(this.claims.newClaim("swapdesk", "k1", new byte[] { 1 }),
				RecordedAnswer.newBuilder().setStatus(200).build(), remainingMillis);
	}

	// After a swap was answered with 200 at one instance, its repetition at the next one
	// was refused with 409: the response had been sent before it was recorded.
	@Test
	void responseIsSentOnceItIsRecorded() {
		CompletableFuture<Void> recording = complete(5_000);
		assertThat(this.requests).singleElement()
			.satisfies((request) -> assertThat(request.getCommand().getCompletion().getAnswer().getStatus())
				.isEqualTo(200));
		assertThat(recording).isNotDone();
		this.leaderResponse.complete(ControlResponse.getDefaultInstance());
		assertThat(recording).isCompleted();
	}

	@Test
	void responseIsSentBeforeItsDeadlineThoughThereIsNoLeader() {
		assertThat(complete(100)).succeedsWithin(Duration.ofSeconds(5));
		assertThat(complete(-1)).succeedsWithin(Duration.ofSeconds(5));
	}

	@Test
	void responseIsSentIfItCannotBeRecorded() {
		CompletableFuture<Void> recording = complete(5_000);
		this.leaderResponse.completeExceptionally(new IllegalStateException("no leader"));
		assertThat(recording).isCompleted();
	}

}
