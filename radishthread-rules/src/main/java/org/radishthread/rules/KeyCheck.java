package org.radishthread.rules;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Decides by the rules of one revision whether a caller's key admits its request. It
 * contains an index of the keys and is meant to be kept as long as the rules are in
 * force. Immutable.
 */
public final class KeyCheck {

	private final long revision;

	private final boolean keysRequired;

	private final Map<String, WorkspaceRule> workspacesByKeyDigest;

	private final KeyLimits limits;

	/**
	 * Creates a check by the rules of a revision.
	 * @param rules the rules
	 * @param limits the ages of the rules up to which keys are decided on
	 */
	public KeyCheck(RuleSet rules, KeyLimits limits) {
		this.revision = rules.revision();
		this.keysRequired = rules.requiresKeys();
		this.workspacesByKeyDigest = rules.toWorkspacesByKeyDigest();
		this.limits = limits;
	}

	/**
	 * Returns the revision of the rules.
	 * @return the revision, or zero if there are no rules
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns whether any request needs a key.
	 * @return whether the rules have workspaces
	 */
	public boolean areKeysRequired() {
		return this.keysRequired;
	}

	/**
	 * Decides whether a request may run now. A request that waited since an earlier
	 * decision needs another one before it is sent.
	 * @param open whether its route needs no key
	 * @param keyDigest the digest of its key, see {@link KeyDigest}, or {@code null} if
	 * it does not carry exactly one key
	 * @param rulesAgeMillis the time since the rules were last known to be the newest
	 * accepted ones, in milliseconds
	 * @return the decision
	 */
	public KeyDecision decide(boolean open, @Nullable String keyDigest, long rulesAgeMillis) {
		if (!this.keysRequired) {
			return KeyDecision.of(KeyOutcome.NOT_REQUIRED);
		}
		if (open) {
			return KeyDecision.of(KeyOutcome.OPEN_ROUTE);
		}
		if (rulesAgeMillis > this.limits.usableAgeMillis()) {
			return KeyDecision.of(KeyOutcome.RULES_OUTDATED);
		}
		WorkspaceRule workspace = (keyDigest != null) ? this.workspacesByKeyDigest.get(keyDigest) : null;
		if (workspace != null) {
			return new KeyDecision(KeyOutcome.ACCEPTED, workspace);
		}
		if (rulesAgeMillis > this.limits.rulesApplyMillis()) {
			return KeyDecision.of(KeyOutcome.RULES_UNCONFIRMED);
		}
		return KeyDecision.of((keyDigest != null) ? KeyOutcome.UNKNOWN_KEY : KeyOutcome.NOT_ONE_KEY);
	}

}
