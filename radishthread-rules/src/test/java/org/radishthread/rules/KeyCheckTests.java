package org.radishthread.rules;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyCheck}.
 */
class KeyCheckTests {

	private static final long REVOKE_MILLIS = 4_000;

	private static final long APPLY_MILLIS = 2_000;

	private static final String KEY_DIGEST = KeyDigest.of("key-of-piste-maps");

	private static final String UNKNOWN_DIGEST = KeyDigest.of("key-of-nobody");

	private static final RuleSet RULES = RuleParser.parse("rules", """
			revision 3   # asked by Ana
			workspace piste-maps keys=%s   # asked by Ana
			""".formatted(KEY_DIGEST));

	private static final RuleSet RULES_WITHOUT_WORKSPACES = RuleParser.parse("rules", """
			revision 3   # asked by Ana
			""");

	private static KeyOutcome decide(RuleSet rules, boolean failClosed, @Nullable String keyDigest, long ageMillis) {
		return new KeyCheck(rules, new KeyLimits(failClosed, REVOKE_MILLIS, APPLY_MILLIS))
			.decide(false, keyDigest, ageMillis)
			.outcome();
	}

	@Test
	void earlierRulesRequireNoKeysWhateverTheirAge() {
		assertThat(decide(RULES_WITHOUT_WORKSPACES, true, null, Long.MAX_VALUE)).isEqualTo(KeyOutcome.NOT_REQUIRED);
		assertThat(decide(RULES_WITHOUT_WORKSPACES, true, KEY_DIGEST, 0)).isEqualTo(KeyOutcome.NOT_REQUIRED);
		assertThat(KeyOutcome.NOT_REQUIRED.replacesCallerHeaders()).isFalse();
	}

	@Test
	void openRouteRequiresNoKeyWhateverTheAgeOfTheRules() {
		KeyCheck check = new KeyCheck(RULES, new KeyLimits(true, REVOKE_MILLIS, APPLY_MILLIS));
		assertThat(check.decide(true, null, Long.MAX_VALUE)).isEqualTo(KeyDecision.of(KeyOutcome.OPEN_ROUTE));
		assertThat(check.decide(true, KEY_DIGEST, 0).workspace()).isNull();
		assertThat(KeyOutcome.OPEN_ROUTE.replacesCallerHeaders()).isTrue();
	}

	@Test
	void knownKeySelectsItsWorkspace() {
		KeyDecision decision = new KeyCheck(RULES, new KeyLimits(true, REVOKE_MILLIS, APPLY_MILLIS)).decide(false,
				KEY_DIGEST, 0);
		assertThat(decision.outcome()).isEqualTo(KeyOutcome.ACCEPTED);
		assertThat(decision.workspace()).isEqualTo(RULES.workspaces().get("piste-maps"));
	}

	@Nested
	class OtherKeys {

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void areRefusedForGoodOnlyWhileTheRulesAreFresh(boolean failClosed) {
			assertThat(decide(RULES, failClosed, UNKNOWN_DIGEST, APPLY_MILLIS)).isEqualTo(KeyOutcome.UNKNOWN_KEY);
			assertThat(decide(RULES, failClosed, null, APPLY_MILLIS)).isEqualTo(KeyOutcome.NOT_ONE_KEY);
			assertThat(decide(RULES, failClosed, UNKNOWN_DIGEST, APPLY_MILLIS + 1))
				.isEqualTo(KeyOutcome.RULES_UNCONFIRMED);
			assertThat(decide(RULES, failClosed, null, APPLY_MILLIS + 1)).isEqualTo(KeyOutcome.RULES_UNCONFIRMED);
			assertThat(KeyOutcome.UNKNOWN_KEY.httpStatus()).isEqualTo(401);
			assertThat(KeyOutcome.NOT_ONE_KEY.httpStatus()).isEqualTo(401);
			assertThat(KeyOutcome.RULES_UNCONFIRMED.httpStatus()).isEqualTo(503);
		}

	}

	// Load: a gateway without a connection to the control group goes on receiving
	// callers.
	@Nested
	class OutdatedRules {

		@Test
		void noKeyIsAcceptedOrRefusedForGood() {
			for (String keyDigest : new String[] { KEY_DIGEST, UNKNOWN_DIGEST, null }) {
				assertThat(decide(RULES, true, keyDigest, REVOKE_MILLIS)).isEqualTo(KeyOutcome.RULES_OUTDATED);
				assertThat(decide(RULES, true, keyDigest, Long.MAX_VALUE)).isEqualTo(KeyOutcome.RULES_OUTDATED);
			}
			assertThat(KeyOutcome.RULES_OUTDATED.httpStatus()).isEqualTo(503);
			assertThat(KeyOutcome.RULES_OUTDATED.isTemporary()).isTrue();
		}

		@ParameterizedTest
		@ValueSource(longs = { 10, 5_000, 60_000 })
		void keysAreAcceptedForThreeFifthsOfTheTimeToRevoke(long revokeMillis) {
			KeyCheck check = new KeyCheck(RULES, new KeyLimits(true, revokeMillis, APPLY_MILLIS));
			assertThat(check.decide(false, KEY_DIGEST, revokeMillis * 3 / 5).outcome()).isEqualTo(KeyOutcome.ACCEPTED);
			assertThat(check.decide(false, KEY_DIGEST, revokeMillis).outcome()).isEqualTo(KeyOutcome.RULES_OUTDATED);
		}

		@Test
		void keysAreAcceptedUnlessTheDeploymentFailsClosed() {
			assertThat(decide(RULES, false, KEY_DIGEST, Long.MAX_VALUE)).isEqualTo(KeyOutcome.ACCEPTED);
		}

	}

}
