package org.radishthread.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.agreement.GroupSettings;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AllotmentLimits;
import org.radishthread.routing.RouterSettings;

/**
 * The settings of one instance.
 *
 * @param instance the name of the instance
 * @param zone the availability zone of the instance
 * @param roles the roles of the instance
 * @param callerAddress the address on which callers connect, or {@code null} without the
 * gateway role
 * @param readinessAddress the address on which every request is answered with the
 * readiness of the instance, or {@code null} for none
 * @param administrationAddress the address on which operators, upstreams and health
 * checks connect
 * @param peerAddress the address on which other instances connect
 * @param peerBindAddress the address at which the instance listens for other instances,
 * which differs from the former behind address translation
 * @param seeds the peer addresses of the instances that this one contacts first
 * @param dataFolder the folder for persistent state, used with the control role
 * @param secrets the tokens for authentication
 * @param bootstrap how the control group is created
 * @param group how many losses the control group bears
 * @param extension the extension in use, or {@code null} for none
 * @param limits size limits and timeouts
 * @param routerSettings the settings of the routers
 * @param keys how keys of callers are checked
 * @param allotmentLimits how far workspaces may exceed their allotments
 */
public record DaemonSettings(String instance, String zone, Set<Role> roles, @Nullable NetworkAddress callerAddress,
		@Nullable NetworkAddress readinessAddress, NetworkAddress administrationAddress, NetworkAddress peerAddress,
		NetworkAddress peerBindAddress, List<String> seeds, Path dataFolder, Secrets secrets, Bootstrap bootstrap,
		GroupSettings group, @Nullable ExtensionSettings extension, Limits limits, RouterSettings routerSettings,
		KeySettings keys, AllotmentLimits allotmentLimits) {

	public boolean isGateway() {
		return this.roles.contains(Role.GATEWAY);
	}

	public boolean isControl() {
		return this.roles.contains(Role.CONTROL);
	}

	/**
	 * Size limits and timeouts.
	 *
	 * @param requestBufferBytes the size up to which the body of a request is buffered; a
	 * larger one is refused, or streamed if its route is for uploads
	 * @param responseBufferBytes the size up to which a response is buffered until it is
	 * complete; a larger one is streamed
	 * @param shutdownTimeoutMillis how long a shutdown waits for open requests, in
	 * milliseconds, or zero for no limit
	 * @param shutdownDelayMillis how long an instance that shuts down still accepts
	 * requests after it stopped reporting ready, so that the platform's load balancer can
	 * stop sending them, in milliseconds
	 * @param rulePropagationTimeoutMillis how long a submission of rules waits for live
	 * instances that have not applied them yet, in milliseconds
	 * @param rulesApplyMillis the time after their acceptance within which rules must be
	 * in force everywhere, in milliseconds
	 * @param departureApplyMillis the time after its acknowledgement within which an
	 * upstream that drains or has left must get no more requests, in milliseconds
	 * @param evacuationApplyMillis the time after its acknowledgement within which an
	 * evacuation of an availability zone must be in force everywhere, in milliseconds
	 * @param rememberedCrashes the maximum number of requests that are remembered because
	 * upstreams crashed while they ran them
	 * @param startingRequests the maximum number of requests that are held until the
	 * instance has started, or zero to refuse them
	 * @param callerHeader the header in which the platform's load balancer identifies the
	 * caller
	 */
	public record Limits(int requestBufferBytes, int responseBufferBytes, long shutdownTimeoutMillis,
			long shutdownDelayMillis, long rulePropagationTimeoutMillis, long rulesApplyMillis,
			long departureApplyMillis, long evacuationApplyMillis, int rememberedCrashes, int startingRequests,
			String callerHeader) {
	}

	/**
	 * How keys of callers are checked.
	 *
	 * @param failClosed whether requests with keys are refused by an instance that does
	 * not know which keys were withdrawn recently
	 * @param revokeMillis the time after its withdrawal was acknowledged within which a
	 * key must not be served any more, in milliseconds
	 */
	public record KeySettings(boolean failClosed, long revokeMillis) {
	}

	/**
	 * How the control group is created.
	 *
	 * @param automatic whether control instances bootstrap the group, join it and replace
	 * lost members without an operator
	 * @param firstStart whether the whole system starts for the first time, so that no
	 * group exists yet
	 */
	public record Bootstrap(boolean automatic, boolean firstStart) {
	}

	/**
	 * The extension that implements the protocols of a platform.
	 *
	 * @param name the name of the extension
	 * @param address the address on which the extension listens, or {@code null} if it
	 * does not listen
	 */
	public record ExtensionSettings(String name, @Nullable NetworkAddress address) {
	}

}
