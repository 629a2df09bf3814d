package org.radishthread.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.radishthread.agreement.GroupSettings;
import org.radishthread.daemon.settings.DaemonSettings.KeySettings;
import org.radishthread.kernel.Findings;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.SettingsNode;
import org.radishthread.membership.MembershipSettings;
import org.radishthread.routing.AllotmentLimits;
import org.radishthread.routing.ColdStartLimits;
import org.radishthread.routing.CrashHistory;
import org.radishthread.routing.RetryLimits;
import org.radishthread.routing.RouterSettings;
import org.radishthread.routing.SlotRequester;

/**
 * Reads and validates a settings file. All findings are reported together.
 */
public final class SettingsReader {

	private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";

	private static final int MINIMUM_TOKEN_LENGTH = 8;

	private static final double UNLIMITED_LINK_MEGABITS = 1_000_000;

	private static final double BYTES_PER_MEGABIT = 125_000;

	private static final double PROBES_LINK_SHARE = 0.1;

	// The size of a body that may occupy the link of a home.
	private static final int TRANSFERRED_BODY_BYTES = 128 << 10;

	private static final long MAXIMUM_LINK_DELAY_MILLIS = 500;

	// Request and response with the headers of their packets.
	private static final double BYTES_PER_PROBE = 600;

	// The time to write the responses of the requests that were ended, and to end the
	// process, in milliseconds.
	private static final long STOP_MILLIS = 300;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long DEFAULT_REVOKE_MILLIS = 5_000;

	private static final long DEFAULT_EVACUATION_APPLY_MILLIS = 5_000;

	// The share of the time for an acknowledgement in which live instances are waited
	// for. The rest is left to agreement, also after the loss of its leader.
	private static final double PROPAGATION_SHARE = 0.15;

	private static final String ENVIRONMENT_PREFIX = "env:";

	private final Path file;

	private final Findings findings;

	private SettingsReader(Path file) {
		this.file = file;
		this.findings = new Findings(file.toString());
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings
	 * @throws FindingsException if the file is invalid, with all findings
	 */
	public static DaemonSettings read(Path file) {
		SettingsReader reader = new SettingsReader(file);
		DaemonSettings settings = reader.readRoot();
		reader.findings.throwIfAny();
		return settings;
	}

	private DaemonSettings readRoot() {
		SettingsNode root = SettingsNode.parse(readFile(), this.findings);
		String instance = readName(root, "instance");
		String zone = readName(root, "zone");
		Set<Role> roles = root.getEnumConstants("roles", Role.class);
		if (roles.isEmpty()) {
			root.reject("roles", "At least one of gateway and control is expected.");
		}
		SettingsNode listen = root.getSection("listen");
		NetworkAddress callerAddress = roles.contains(Role.GATEWAY) ? readAddress(listen, "caller") : null;
		NetworkAddress readinessAddress = listen.has("readiness") ? readAddress(listen, "readiness") : null;
		NetworkAddress extensionAddress = listen.has("extension") ? readAddress(listen, "extension") : null;
		NetworkAddress administrationAddress = readAddress(listen, "administration");
		NetworkAddress peerAddress = readAddress(listen, "peer");
		NetworkAddress peerBindAddress = listen.has("peer-bind") ? readAddress(listen, "peer-bind") : peerAddress;
		listen.rejectUnknownKeys();
		List<String> seeds = readSeeds(root);
		Path dataFolder = this.file.resolveSibling(root.getString("data", "data"));
		if (roles.contains(Role.CONTROL) && !root.has("data")) {
			root.reject("data", "The control role requires a data folder on disk.");
		}
		Secrets secrets = readSecrets(root.getSection("secrets"));
		SettingsNode limitsSection = root.getSection("limits");
		DaemonSettings.Limits limits = readLimits(limitsSection);
		RouterSettings routerSettings = new RouterSettings(zone,
				(int) limitsSection.getLong("maximum-instances", 16, 1, 1_000),
				readRetryLimits(root.getSection("retries")), readPaceProbesPerSecond(limitsSection),
				readColdStartLimits(root.getSection("cold-starts")), readHomeResponseTimeout(limitsSection));
		limitsSection.rejectUnknownKeys();
		DaemonSettings.Bootstrap bootstrap = readBootstrap(root.getSection("founding"));
		GroupSettings group = readGroup(root.getSection("group"));
		DaemonSettings.ExtensionSettings extension = root.has("extension")
				? new DaemonSettings.ExtensionSettings(readName(root, "extension"), extensionAddress) : null;
		KeySettings keys = readKeys(root.getSection("keys"));
		AllotmentLimits allotmentLimits = readAllotmentLimits(root.getSection("allotments"));
		root.rejectUnknownKeys();
		return new DaemonSettings(instance, zone, roles, callerAddress, readinessAddress, administrationAddress,
				peerAddress, peerBindAddress, seeds, dataFolder, secrets, bootstrap, group, extension, limits,
				routerSettings, keys, allotmentLimits);
	}

	private String readFile() {
		try {
			return Files.readString(this.file);
		}
		catch (IOException ex) {
			this.findings.add(1, 1, "", "The file cannot be read: " + ex.getMessage() + ".");
			return "{}";
		}
	}

	private static String readName(SettingsNode node, String key) {
		String name = node.getRequiredString(key);
		if (!name.isEmpty() && !name.matches(NAME_PATTERN)) {
			node.reject(key, "A name of lower-case letters, digits, '.' and '-' is expected.");
		}
		return name;
	}

	private static NetworkAddress readAddress(SettingsNode node, String key) {
		String text = node.getRequiredString(key);
		try {
			return NetworkAddress.parse(text);
		}
		catch (IllegalArgumentException ex) {
			if (!text.isEmpty()) {
				node.reject(key, String.valueOf(ex.getMessage()));
			}
			// Never used, since the finding makes the settings invalid.
			return new NetworkAddress("0.0.0.0", 0);
		}
	}

	private static DaemonSettings.Bootstrap readBootstrap(SettingsNode node) {
		DaemonSettings.Bootstrap bootstrap = new DaemonSettings.Bootstrap(node.getBoolean("automatic", false),
				node.getBoolean("first-start", false));
		node.rejectUnknownKeys();
		return bootstrap;
	}

	private static GroupSettings readGroup(SettingsNode node) {
		GroupSettings defaults = GroupSettings.DEFAULTS;
		double catchUpSeconds = node.getNumber("catch-up-seconds",
				(double) defaults.catchUpMillis() / MILLIS_PER_SECOND, 1, 3_600);
		GroupSettings group = new GroupSettings(
				(int) node.getLong("tolerated-losses", defaults.toleratedLosses(), 0, 100),
				Math.round(catchUpSeconds * MILLIS_PER_SECOND));
		node.rejectUnknownKeys();
		return group;
	}

	private static List<String> readSeeds(SettingsNode root) {
		List<String> seeds = new ArrayList<>();
		// Zero keeps the port of each seed; any other value replaces it.
		int port = (int) root.getLong("seed-port", 0, 0, 65_535);
		for (String seed : root.getStrings("seeds")) {
			try {
				NetworkAddress address = NetworkAddress.parse(seed);
				seeds.add(((port == 0) ? address : new NetworkAddress(address.host(), port)).toString());
			}
			catch (IllegalArgumentException ex) {
				root.reject("seeds", String.valueOf(ex.getMessage()));
			}
		}
		if (seeds.isEmpty()) {
			root.reject("seeds", "At least one peer address is expected.");
		}
		return seeds;
	}

	private Secrets readSecrets(SettingsNode node) {
		Secrets secrets = new Secrets(readToken(node, "peer"), readToken(node, "administration"),
				readToken(node, "announcement"));
		node.rejectUnknownKeys();
		return secrets;
	}

	private String readToken(SettingsNode node, String key) {
		String path = node.getRequiredString(key);
		if (path.isEmpty()) {
			return "";
		}
		try {
			String token = path.startsWith(ENVIRONMENT_PREFIX)
					? readEnvironmentVariable(path.substring(ENVIRONMENT_PREFIX.length()))
					: Files.readString(this.file.resolveSibling(path)).strip();
			if (token.length() < MINIMUM_TOKEN_LENGTH) {
				node.reject(key,
						"The token in '" + path + "' must have at least " + MINIMUM_TOKEN_LENGTH + " characters.");
			}
			return token;
		}
		catch (IOException ex) {
			node.reject(key, "The token file '" + path + "' cannot be read.");
			return "";
		}
	}

	private static String readEnvironmentVariable(String variableName) {
		String value = System.getenv(variableName);
		return (value != null) ? value.strip() : "";
	}

	private static RetryLimits readRetryLimits(SettingsNode node) {
		RetryLimits defaults = RetryLimits.DEFAULTS;
		RetryLimits limits = new RetryLimits(node.getNumber("ratio", defaults.ratio(), 0, 1),
				node.getNumber("slack", defaults.slack(), 0, 1_000_000),
				node.getNumber("window-seconds", defaults.windowSeconds(), 1, 3_600));
		node.rejectUnknownKeys();
		return limits;
	}

	private static ColdStartLimits readColdStartLimits(SettingsNode node) {
		ColdStartLimits defaults = ColdStartLimits.DEFAULTS;
		ColdStartLimits limits = new ColdStartLimits(node.getNumber("overage", defaults.overage(), 1, 1_000),
				node.getNumber("slack", defaults.slack(), 0, 1_000_000));
		node.rejectUnknownKeys();
		return limits;
	}

	private static KeySettings readKeys(SettingsNode node) {
		KeySettings keys = new KeySettings(node.getBoolean("fail-closed", false),
				Math.round(node.getNumber("revoke-millis", DEFAULT_REVOKE_MILLIS, 1, 3_600_000)));
		node.rejectUnknownKeys();
		return keys;
	}

	private static AllotmentLimits readAllotmentLimits(SettingsNode node) {
		AllotmentLimits defaults = AllotmentLimits.DEFAULTS;
		AllotmentLimits limits = new AllotmentLimits(
				node.getNumber("window-seconds", defaults.windowSeconds(), 1, 3_600),
				node.getNumber("overage", defaults.overage(), 0, 100),
				node.getNumber("slack", defaults.slack(), 0, 1_000_000));
		node.rejectUnknownKeys();
		return limits;
	}

	// Probes may use a share of the link and of the processor.
	private static double readPaceProbesPerSecond(SettingsNode node) {
		double processorShare = node.getNumber("processor-share", 1);
		double linkMegabitsPerSecond = node.getNumber("link-megabits", UNLIMITED_LINK_MEGABITS);
		double byLink = linkMegabitsPerSecond * BYTES_PER_MEGABIT * PROBES_LINK_SHARE / BYTES_PER_PROBE;
		double byProcessor = processorShare * RouterSettings.DEFAULT_PACE_PROBES_PER_SECOND;
		return Math.max(1, Math.min(byLink, byProcessor));
	}

	// The messages of a home wait while a body is transferred over its link. Instances of
	// a deployment have links of about the same bandwidth.
	private static Duration readHomeResponseTimeout(SettingsNode node) {
		double linkMegabitsPerSecond = node.getNumber("link-megabits", UNLIMITED_LINK_MEGABITS);
		long transferMillis = Math
			.round(MILLIS_PER_SECOND * TRANSFERRED_BODY_BYTES / (linkMegabitsPerSecond * BYTES_PER_MEGABIT));
		return SlotRequester.MINIMUM_RESPONSE_TIMEOUT.plusMillis(Math.min(transferMillis, MAXIMUM_LINK_DELAY_MILLIS));
	}

	// The platform kills a process some time after it asked it to stop.
	private static long readShutdownTimeoutMillis(SettingsNode node, long shutdownDelayMillis) {
		double graceSeconds = node.getNumber("grace-seconds", 0, 0, 86_400);
		long remainingMillis = Math.round(graceSeconds * MILLIS_PER_SECOND) - shutdownDelayMillis - STOP_MILLIS;
		return (graceSeconds == 0) ? 0 : Math.max(1, remainingMillis);
	}

	private static DaemonSettings.Limits readLimits(SettingsNode node) {
		int requestBufferBytes = (int) node.getLong("held-request-bytes", 1 << 20, 0, 1 << 26);
		int responseBufferBytes = (int) node.getLong("held-answer-bytes", 256 << 10, 0, 1 << 26);
		long shutdownDelayMillis = node.getLong("notice-millis", 3_000, 0, 60_000);
		long shutdownTimeoutMillis = node.getLong("shutdown-millis",
				readShutdownTimeoutMillis(node, shutdownDelayMillis), 0, 86_400_000);
		double acknowledgementMillis = node.getNumber("acknowledgement-millis", 0, 0, 3_600_000);
		long rulePropagationTimeoutMillis = node.getLong("spread-millis",
				(acknowledgementMillis > 0) ? Math.round(acknowledgementMillis * PROPAGATION_SHARE) : 3_000, 0, 60_000);
		long rulesApplyMillis = Math
			.round(node.getNumber("apply-millis", MembershipSettings.DEFAULT_RULES_APPLY_MILLIS, 1, 3_600_000));
		long departureApplyMillis = Math.round(node.getNumber("departure-apply-millis",
				MembershipSettings.DEFAULT_DEPARTURE_APPLY_MILLIS, 1, 3_600_000));
		long evacuationApplyMillis = Math
			.round(node.getNumber("evacuation-apply-millis", DEFAULT_EVACUATION_APPLY_MILLIS, 1, 3_600_000));
		int rememberedCrashes = (int) node.getLong("remembered-crashes", CrashHistory.DEFAULT_MAXIMUM_ENTRIES, 1,
				1_000_000);
		int startingRequests = (int) node.getLong("starting-requests", 0, 0, 1_000_000);
		String callerHeader = node.getString("caller-header", "X-Forwarded-For");
		return new DaemonSettings.Limits(requestBufferBytes, responseBufferBytes, shutdownTimeoutMillis,
				shutdownDelayMillis, rulePropagationTimeoutMillis, rulesApplyMillis, departureApplyMillis,
				evacuationApplyMillis, rememberedCrashes, startingRequests, callerHeader);
	}

}
