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
	 * Returns the rank of a request among those queued for a service. The priority of the
	 * workspace counts before that of the route.
	 * @param workspace the workspace, or {@code null} for a request without one
	 * @param routePriority the priority of the route
	 * @return the rank; lower ranks are served first
	 */
	public static int rank(@Nullable WorkspaceRule workspace, int routePriority) {
		Integer workspacePriority = (workspace != null) ? workspace.priority() : null;
		int effectivePriority = (workspacePriority != null) ? workspacePriority : RouteLimits.DEFAULT_PRIORITY;
		return effectivePriority * (RouteLimits.MAXIMUM_PRIORITY + 1) + routePriority;
	}

	/**
	 * Returns whether the requests of the workspace are limited.
	 * @return whether there is an allotment
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

}
