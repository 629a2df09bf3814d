package org.radishthread.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishthread.kernel.Assert;

/**
 * The validated rules of one rule file.
 *
 * @param revision the revision of the file, greater than zero, or zero for {@link #EMPTY}
 * @param services the service rules by name of the service
 * @param routes the routes in the order of the file
 * @param callerLimits the limits on the requests and connections of callers
 * @param workspaces the workspace rules by name of the workspace; if there are none,
 * callers need no keys
 */
public record RuleSet(long revision, Map<String, ServiceRule> services, List<RouteRule> routes,
		CallerLimits callerLimits, Map<String, WorkspaceRule> workspaces) {

	/**
	 * The rule set in force until the first rule file is accepted.
	 */
	public static final RuleSet EMPTY = new RuleSet(0, Map.of(), List.of(), CallerLimits.DEFAULTS, Map.of());

	public RuleSet {
		Assert.isTrue(revision >= 0, "Revision " + revision + " must not be negative.");
	}

	/**
	 * Finds the first route without a host that applies to a request.
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @return the route, if any
	 */
	public Optional<RouteRule> findRoute(String method, String path) {
		return toRouteFinder().find("", method, path);
	}

	/**
	 * Creates a finder for the routes of this rule set. The finder builds an index and is
	 * meant to be kept as long as the rule set is in force.
	 * @return the finder
	 */
	public RouteFinder toRouteFinder() {
		return new RouteTable(this.routes)::find;
	}

	/**
	 * Returns whether callers must send a key of a workspace on routes that are not open.
	 * @return whether there is any workspace
	 */
	public boolean requiresKeys() {
		return !this.workspaces.isEmpty();
	}

	/**
	 * Creates an index of the workspaces by the digests of their keys. It is meant to be
	 * kept as long as the rule set is in force.
	 * @return the workspaces by key digest
	 */
	public Map<String, WorkspaceRule> toWorkspacesByKeyDigest() {
		Map<String, WorkspaceRule> workspacesByKeyDigest = new HashMap<>();
		this.workspaces.values()
			.forEach((workspace) -> workspace.keyDigests()
				.forEach((digest) -> workspacesByKeyDigest.put(digest, workspace)));
		return workspacesByKeyDigest;
	}

	/**
	 * Returns the rule of a service.
	 * @param service the name of the service
	 * @return the rule, with the default values if the rule file has none for the service
	 */
	public ServiceRule serviceRule(String service) {
		ServiceRule rule = this.services.get(service);
		return (rule != null) ? rule : ServiceRule.defaults(service);
	}

}
