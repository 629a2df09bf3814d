package org.radishthread.rules;

import org.jspecify.annotations.Nullable;

/**
 * Result of the check of a caller's key.
 *
 * @param outcome whether the request passes
 * @param workspace the workspace that has the key, or {@code null} unless the key is
 * accepted
 */
public record KeyDecision(KeyOutcome outcome, @Nullable WorkspaceRule workspace) {

	static KeyDecision of(KeyOutcome outcome) {
		return new KeyDecision(outcome, null);
	}

}
