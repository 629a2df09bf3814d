package org.radishthread.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.radishthread.kernel.Findings;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.SettingsNode;

/**
 * Reads and checks a settings file. All findings are reported together.
 */
public final class SettingsReader {

	private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";

	private static final int MINIMUM_TOKEN_LENGTH = 8;

	private static final String ENVIRONMENT = "env:";

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
	 * @throws FindingsException with all that is wrong
	 */
	public static DaemonSettings read(Path file) {
		SettingsReader reader = new SettingsReader(file);
		DaemonSettings settings = reader.readRoot();
		reader.findings.throwIfAny();
		return settings;
	}

	private DaemonSettings readRoot() {
		SettingsNode root = SettingsNode.parse(readText(), this.findings);
		String instance = name(root, "instance");
		String zone = name(root, "zone");
		Set<Role> roles = root.constants("roles", Role.class);
		if (roles.isEmpty()) {
			root.reject("roles", "At least one of gateway and control is expected.");
		}
		SettingsNode listen = root.section("listen");
		NetworkAddress caller = roles.contains(Role.GATEWAY) ? address(listen, "caller") : null;
		NetworkAddress readiness = listen.has("readiness") ? address(listen, "readiness") : null;
		NetworkAddress extensionAddress = listen.has("extension") ? address(listen, "extension") : null;
		NetworkAddress administration = address(listen, "administration");
		NetworkAddress peer = address(listen, "peer");
		listen.rejectUnknown();
		List<String> seeds = seeds(root);
		Path data = this.file.resolveSibling(root.text("data", "data"));
		if (roles.contains(Role.CONTROL) && !root.has("data")) {
			root.reject("data", "The control role needs a data folder on a disk.");
		}
		Secrets secrets = secrets(root.section("secrets"));
		DaemonSettings.Limits limits = limits(root.section("limits"));
		DaemonSettings.Bootstrap bootstrap = bootstrap(root.section("founding"));
		DaemonSettings.ExtensionSettings extension = root.has("extension")
				? new DaemonSettings.ExtensionSettings(name(root, "extension"), extensionAddress) : null;
		root.rejectUnknown();
		return new DaemonSettings(instance, zone, roles, caller, readiness, administration, peer, seeds, data, secrets,
				bootstrap, extension, limits);
	}

	private String readText() {
		try {
			return Files.readString(this.file);
		}
		catch (IOException ex) {
			this.findings.add(1, 1, "", "The file can not be read: " + ex.getMessage() + ".");
			return "{}";
		}
	}

	private static String name(SettingsNode node, String key) {
		String name = node.requiredText(key);
		if (!name.isEmpty() && !name.matches(NAME_PATTERN)) {
			node.reject(key, "A name of lower-case letters, digits, '.' and '-' is expected.");
		}
		return name;
	}

	private static NetworkAddress address(SettingsNode node, String key) {
		String text = node.requiredText(key);
		try {
			return NetworkAddress.parse(text);
		}
		catch (IllegalArgumentException ex) {
			if (!text.isEmpty()) {
				node.reject(key, String.valueOf(ex.getMessage()));
			}
			return new NetworkAddress("0.0.0.0", 0);
		}
	}

	private static DaemonSettings.Bootstrap bootstrap(SettingsNode node) {
		DaemonSettings.Bootstrap bootstrap = new DaemonSettings.Bootstrap(node.flag("automatic", false),
				node.flag("first-start", false));
		node.rejectUnknown();
		return bootstrap;
	}

	private static List<String> seeds(SettingsNode root) {
		List<String> seeds = new ArrayList<>();
		// Zero keeps the port that each seed names.
		int port = (int) root.number("seed-port", 0, 0, 65_535);
		for (String seed : root.texts("seeds")) {
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

	private Secrets secrets(SettingsNode node) {
		Secrets secrets = new Secrets(token(node, "peer"), token(node, "administration"), token(node, "announcement"));
		node.rejectUnknown();
		return secrets;
	}

	private String token(SettingsNode node, String key) {
		String path = node.requiredText(key);
		if (path.isEmpty()) {
			return "";
		}
		try {
			String token = path.startsWith(ENVIRONMENT) ? environment(path.substring(ENVIRONMENT.length()))
					: Files.readString(this.file.resolveSibling(path)).strip();
			if (token.length() < MINIMUM_TOKEN_LENGTH) {
				node.reject(key,
						"The token in '" + path + "' must have at least " + MINIMUM_TOKEN_LENGTH + " characters.");
			}
			return token;
		}
		catch (IOException ex) {
			node.reject(key, "The token file '" + path + "' can not be read.");
			return "";
		}
	}

	private static String environment(String variable) {
		String value = System.getenv(variable);
		return (value != null) ? value.strip() : "";
	}

	private static DaemonSettings.Limits limits(SettingsNode node) {
		int heldRequest = (int) node.number("held-request-bytes", 1 << 20, 0, 1 << 26);
		int heldAnswer = (int) node.number("held-answer-bytes", 256 << 10, 0, 1 << 26);
		int maximumInstances = (int) node.number("maximum-instances", 16, 1, 1_000);
		long shutdown = node.number("shutdown-millis", 0, 0, 86_400_000);
		long notice = node.number("notice-millis", 3_000, 0, 60_000);
		long spread = node.number("spread-millis", 3_000, 0, 60_000);
		String callerHeader = node.text("caller-header", "X-Forwarded-For");
		node.rejectUnknown();
		return new DaemonSettings.Limits(heldRequest, heldAnswer, maximumInstances, shutdown, notice, spread,
				callerHeader);
	}

}
