package org.radishthread.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import org.radishthread.kernel.NetworkAddress;

/**
 * The settings of one instance.
 *
 * @param instance the name of the instance
 * @param zone its availability zone
 * @param roles what it does
 * @param callerAddress where callers connect
 * @param administrationAddress where operators, upstreams and health checks connect
 * @param peerAddress where other instances connect
 * @param seeds peer addresses of the instances that are asked first
 * @param dataFolder the folder for state on disk, used with the control role
 * @param secrets the tokens
 * @param limits bounds of sizes and times
 */
public record DaemonSettings(String instance, String zone, Set<Role> roles, NetworkAddress callerAddress,
		NetworkAddress administrationAddress, NetworkAddress peerAddress, List<String> seeds, Path dataFolder,
		Secrets secrets, Limits limits) {

	public boolean isGateway() {
		return this.roles.contains(Role.GATEWAY);
	}

	public boolean isControl() {
		return this.roles.contains(Role.CONTROL);
	}

	/**
	 * Bounds of sizes and times.
	 *
	 * @param heldRequestBytes the greatest body of a request that is held in memory
	 * @param heldAnswerBytes the greatest answer that is held until it is whole
	 * @param maximumInstances the greatest number of instances that may exist; it divides
	 * the measuring budget
	 * @param shutdownMillis the longest time to wait for open requests on shutdown, in
	 * milliseconds, zero for no bound
	 * @param noticeMillis how long this instance goes on taking work after it said that
	 * it is no longer ready, so that the platform's balancer can follow, in milliseconds
	 * @param callerHeader the header by which the platform's balancer names the caller
	 */
	public record Limits(int heldRequestBytes, int heldAnswerBytes, int maximumInstances, long shutdownMillis,
			long noticeMillis, String callerHeader) {
	}

}
