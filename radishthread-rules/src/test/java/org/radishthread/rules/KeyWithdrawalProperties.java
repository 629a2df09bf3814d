package org.radishthread.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for withdrawn keys at gateways that learn of rules late, out of order or
 * not at all.
 */
class KeyWithdrawalProperties {

	private static final String KEY_DIGEST = KeyDigest.of("key");

	private static final int DURATION_MILLIS = 20_000;

	private static RuleSet rules(long revision, boolean withKey) {
		return RuleParser.parse("rules", """
				revision %d   # asked by Ana
				workspace maps keys=%s   # asked by Ana
				""".formatted(revision, KeyDigest.of(withKey ? "key" : "another key")));
	}

	// A request is checked each millisecond, as if it was dispatched then; the key is
	// given to the workspace and withdrawn by turns.
	@Property(tries = 60, seed = "11")
	void withdrawnKeyIsAcceptedNoLongerThanTheTimeToRevoke(@ForAll @LongRange(min = 500, max = 8_000) long revokeMillis,
			@ForAll @IntRange(min = 1, max = 6) int changeCount,
			@ForAll @IntRange(min = 0, max = 6_000) int maximumSilenceMillis, @ForAll long seed) {
		Random random = new Random(seed);
		KeyLimits limits = new KeyLimits(true, revokeMillis, 2_000);
		long[] changeMillis = random.longs(changeCount, 0, DURATION_MILLIS).sorted().toArray();
		List<KeyCheck> checks = new ArrayList<>();
		for (int i = 0; i <= changeCount; i++) {
			checks.add(new KeyCheck(rules(i + 1L, i % 2 == 0), limits));
		}
		Gateway gateway = new Gateway(checks.get(0));
		long nextReportMillis = 0;
		for (long millis = 0; millis < DURATION_MILLIS; millis++) {
			if (millis >= nextReportMillis) {
				gateway.learn(checks.get(countUntil(changeMillis, millis)), millis,
						millis + random.nextInt(1 + maximumSilenceMillis));
				nextReportMillis = millis + 100 + random.nextInt(1 + maximumSilenceMillis);
			}
			KeyDecision decision = gateway.decide(millis);
			int changesThatBind = countUntil(changeMillis, millis - revokeMillis - 1);
			boolean heldSince = changesThatBind % 2 == 0 || countUntil(changeMillis, millis) > changesThatBind;
			if (!heldSince) {
				assertThat(decision.outcome()).as("decision at %d ms", millis).isNotEqualTo(KeyOutcome.ACCEPTED);
			}
			if (gateway.ageMillis(millis) <= revokeMillis * 3 / 5) {
				assertThat(decision.outcome()).as("decision at %d ms", millis).isNotEqualTo(KeyOutcome.RULES_OUTDATED);
			}
		}
	}

	// The number of changes that were acknowledged at a time.
	private static int countUntil(long[] changeMillis, long millis) {
		int count = 0;
		while (count < changeMillis.length && changeMillis[count] <= millis) {
			count++;
		}
		return count;
	}

	/**
	 * A gateway that learns the rules as of one time at a later time.
	 */
	private static final class Gateway {

		private final List<Knowledge> pending = new ArrayList<>();

		private KeyCheck check;

		private long currentAtMillis;

		private Gateway(KeyCheck check) {
			this.check = check;
		}

		private void learn(KeyCheck newest, long asOfMillis, long arrivalMillis) {
			this.pending.add(new Knowledge(newest, asOfMillis, arrivalMillis));
		}

		private long ageMillis(long nowMillis) {
			return nowMillis - this.currentAtMillis;
		}

		private KeyDecision decide(long nowMillis) {
			this.pending.stream().filter((knowledge) -> knowledge.arrivalMillis() <= nowMillis).forEach(this::apply);
			this.pending.removeIf((knowledge) -> knowledge.arrivalMillis() <= nowMillis);
			return this.check.decide(false, KEY_DIGEST, ageMillis(nowMillis));
		}

		private void apply(Knowledge knowledge) {
			if (knowledge.check().revision() >= this.check.revision()) {
				this.check = knowledge.check();
			}
			this.currentAtMillis = Math.max(this.currentAtMillis, knowledge.asOfMillis());
		}

		private record Knowledge(KeyCheck check, long asOfMillis, long arrivalMillis) {
		}

	}

}
