package org.radishthread.routing;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the names under which {@link AttemptKind}, {@link AttemptResult} and
 * {@link RefusalReason} are sent to other instances: renaming a constant would break the
 * communication between instances of different versions.
 */
class WireNameTests {

	@Test
	void attemptKindsKeepTheirWireNames() {
		assertThat(Arrays.stream(AttemptKind.values()).map(AttemptKind::wireName)).containsExactly("first", "retry",
				"hedge");
	}

	@Test
	void attemptResultsKeepTheirWireNames() {
		assertThat(Arrays.stream(AttemptResult.values()).map(AttemptResult::wireName)).containsExactly("SUCCESS",
				"FAILURE", "FAILURE", "UNREACHABLE", "SHED", "SHED", "CANCELLED", "CANCELLED");
	}

	@Test
	void attemptResultsAreFoundByTheirWireNames() {
		assertThat(AttemptResult.values())
			.allSatisfy((result) -> assertThat(AttemptResult.fromWireName(result.wireName(), result.isMarked()))
				.isEqualTo(result));
	}

	// Earlier versions send and read the mark of a lost connection only.
	@Test
	void onlyResultsThatEarlierVersionsDoNotKnowAreMarked() {
		assertThat(Arrays.stream(AttemptResult.values()).filter(AttemptResult::isMarked))
			.containsExactly(AttemptResult.CONNECTION_LOST, AttemptResult.SHED_WITHOUT_ID, AttemptResult.RETURNED);
	}

	@Test
	void refusalReasonsKeepTheirWireNames() {
		assertThat(Arrays.stream(RefusalReason.values()).map(RefusalReason::wireName)).containsExactly("no-upstream",
				"overload", "caller-limit", "queue-timeout", "retry-budget", "quarantined", "not-home", "allotment",
				"allotment-unknown", "attempts-used", "deadline-passed", "home-silent");
	}

	// Earlier versions fail to read names that they do not know.
	@Test
	void generalReasonsAreKnownToAllVersionsAndHaveTheSameStatus() {
		assertThat(RefusalReason.values()).allSatisfy((reason) -> {
			assertThat(reason.generalReason()).isLessThanOrEqualTo(RefusalReason.NOT_HOME);
			assertThat(reason.generalReason().httpStatus()).isEqualTo(reason.httpStatus());
		});
	}

	@Test
	void specificReasonCountsIfItIsKnown() {
		assertThat(RefusalReason.fromWireNames("caller-limit", "allotment")).isEqualTo(RefusalReason.ALLOTMENT);
		assertThat(RefusalReason.fromWireNames("caller-limit", "")).isEqualTo(RefusalReason.CALLER_LIMIT);
		assertThat(RefusalReason.fromWireNames("overload", "of-a-later-version")).isEqualTo(RefusalReason.OVERLOAD);
	}

	@Test
	void refusalReasonsAreFoundByTheirWireNames() {
		assertThat(RefusalReason.values())
			.allSatisfy((reason) -> assertThat(RefusalReason.fromWireName(reason.wireName())).isEqualTo(reason));
	}

}
