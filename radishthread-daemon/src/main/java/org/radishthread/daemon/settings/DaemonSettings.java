package org.radishthread.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.NetworkAddress;

/**
 * The settings of one instance.
 *
 * @param instance the name of the instance
 * @param zone its availability zone
 * @param roles what it does
 * @param callerAddress where callers connect, or {@code null} without the gateway role
 * @param readinessAddress where any request tells whether this instance is ready, or
 * {@code null} for none
 * @param administrationAddress where operators, upstreams and health checks connect
 * @param peerAddress where other instances connect
 * @param seeds peer addresses of the instances that are asked first
 * @param dataFolder the folder for state on disk, used with the control role
 * @param secrets the tokens
 * @param bootstrap how the control group is founded
 * @param extension the extension in use, or {@code null} for none
 * @param limits bounds of sizes and times
 */
public record DaemonSettings(String instance, String zone, Set<Role> roles, @Nullable NetworkAddress callerAddress,
		@Nullable NetworkAddress readinessAddress, NetworkAddress administrationAddress, NetworkAddress peerAddress,
		List<String> seeds, Path dataFolder, Secrets secrets, Bootstrap bootstrap,
		@Nullable ExtensionSettings extension, Limits limits) {

	public boolean isGateway() {
		return this.roles.contains(Role.GATEWAY);
	}

	public boolean isControl() {
		return this.roles.contains(Role.CONTROL);
	}

	/**
	 * Bounds of sizes and times.
	 *
	 * @param requestBufferBytes the greatest body of a request that is held in memory
	 * @param responseBufferBytes the greatest answer that is held until it is whole
	 * @param maximumInstances the greatest number of instances that may exist; it divides
	 * the measuring budget
	 * @param shutdownTimeoutMillis the longest time to wait for open requests on
	 * shutdown, in milliseconds, zero for no bound
	 * @param shutdownDelayMillis how long this instance goes on taking work after it said
	 * that it is no longer ready, so that the platform's balancer can follow, in
	 * milliseconds
	 * @param rulePropagationTimeoutMillis how long a submission of rules waits for live
	 * instances that do not route by them yet, in milliseconds
	 * @param callerHeader the header by which the platform's balancer names the caller
	 */
	public record Limits(int requestBufferBytes, int responseBufferBytes, int maximumInstances,
			long shutdownTimeoutMillis, long shutdownDelayMillis, long rulePropagationTimeoutMillis,
			String callerHeader) {
	}

	/**
	 * How the control group is founded.
	 *
	 * @param automatic whether control instances found the group, join it and replace
	 * lost members without an operator
	 * @param firstStart whether the whole system starts for the first time, so that there
	 * is no group yet
	 */
	public record Bootstrap(boolean automatic, boolean firstStart) {
	}

	/**
	 * The extension that speaks the protocols of a platform.
	 *
	 * @param name the name of the extension
	 * @param address where its own interface listens, or {@code null} for nowhere
	 */
	public record ExtensionSettings(String name, @Nullable NetworkAddress address) {
	}

}
