package org.radishthread.rules;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;

/**
 * Rule that admits the callers of one workspace: the digests of their keys, the allotment
 * that they share over all instances, and their rank.
 *
 * @param name the name of the workspace
 * @param keyDigests the digests of the keys, see {@link KeyDigest}
 * @param requestsPerSecond the allotted requests per second over all instances together,
 * or zero for no limit
 * @param burst the requests allowed in addition to the rate
 * @param priority the rank of the workspace, which counts before that of the route; 0 is
 * served first; {@code null} if the workspace sets none
 */
public record WorkspaceRule(String name, List<String> keyDigests, double requestsPerSecond, double burst,
		@Nullable Integer priority) implements LineRule {

	public WorkspaceRule {
		Assert.hasText(name, "Name of a workspace must not be empty.");
		Assert.isTrue(requestsPerSecond >= 0, "Rate " + requestsPerSecond + " must not be negative.");
		Assert.isTrue(burst >= 0, "Burst " + burst + " must not be negative.");
		Assert.isTrue(priority == null || priority >= 0, "Priority " + priority + " must not be negative.");
	}

	/**
	 * Returns whether the requests of the workspace are limited.
	 * @return whether there is an allotment
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

}
