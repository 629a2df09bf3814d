package org.radishthread.rules;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Findings;

/**
 * Reads the options at the end of a rule line.
 */
final class RuleOptions {

	private static final Pattern DURATION = Pattern.compile("([1-9][0-9]{0,8})(ms|s|m)");

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration DEFAULT_UPLOAD_TIMEOUT = Duration.ofSeconds(60);

	private final int line;

	private final Findings findings;

	private int queueLimit = -1;

	private @Nullable Duration queueTimeout;

	private int callerSharePercent = -1;

	private int probesPerSecond = -1;

	private int retryPercent = -1;

	private int paceProbes = -1;

	private String healthPath = "";

	private int ejectionFailureThreshold = -1;

	private @Nullable RouteMode mode;

	private @Nullable Duration timeout;

	private @Nullable Duration totalTimeout;

	private @Nullable Duration objective;

	private int priority = -1;

	private int attempts = -1;

	private String host = "";

	private int maximumHeaderBytes = -1;

	private long maximumBodyBytes = -1;

	private @Nullable Duration headerTimeout;

	private @Nullable Duration idleTimeout;

	private final Set<String> seen = new HashSet<>();

	private final Words words;

	private final int first;

	RuleOptions(int line, Words words, int first, Findings findings) {
		this.line = line;
		this.words = words;
		this.first = first;
		this.findings = findings;
	}

	ServiceRule toServiceRule(String service) {
		for (int i = this.first; i < this.words.size(); i++) {
			readServiceOption(this.words.text(i), this.words.column(i));
		}
		ServiceRule defaults = ServiceRule.defaults(service);
		return new ServiceRule(service, orElse(this.queueLimit, defaults.queueLimit()),
				orElse(this.queueTimeout, defaults.queueTimeout()),
				orElse(this.callerSharePercent, defaults.callerSharePercent()),
				orElse(this.probesPerSecond, defaults.probesPerSecond()),
				orElse(this.retryPercent, defaults.retryPercent()),
				orElse(this.ejectionFailureThreshold, defaults.ejectionFailureThreshold()), paceProbeRule());
	}

	private @Nullable PaceProbeRule paceProbeRule() {
		if (this.paceProbes <= 0) {
			return null;
		}
		return new PaceProbeRule(this.healthPath.isEmpty() ? "/" : this.healthPath, this.paceProbes);
	}

	RouteRule toRouteRule(List<WeightedService> split, String method, PathPattern pattern, String requestedBy) {
		for (int i = this.first; i < this.words.size(); i++) {
			readRouteOption(this.words.text(i), this.words.column(i));
		}
		RouteMode chosen = (this.mode != null) ? this.mode : RouteMode.defaultFor(method);
		Duration fallback = chosen.isBodyStreamed() ? DEFAULT_UPLOAD_TIMEOUT : DEFAULT_TIMEOUT;
		Duration allowed = orElse(this.timeout, fallback);
		RouteLimits limits = new RouteLimits(allowed, this.totalTimeout, orElse(this.objective, allowed),
				orElse(this.priority, RouteLimits.DEFAULT_PRIORITY),
				orElse(this.attempts, RouteLimits.DEFAULT_MAXIMUM_ATTEMPTS));
		return new RouteRule(this.line, split.get(0).service(), split, new RouteMatch(this.host, method, pattern),
				chosen, limits, requestedBy);
	}

	CallerLimits toCallerLimits() {
		for (int i = this.first; i < this.words.size(); i++) {
			readCallerOption(this.words.text(i), this.words.column(i));
		}
		CallerLimits defaults = CallerLimits.DEFAULTS;
		return new CallerLimits(orElse(this.maximumHeaderBytes, defaults.maximumHeaderBytes()),
				(this.maximumBodyBytes >= 0) ? this.maximumBodyBytes : defaults.maximumBodyBytes(),
				orElse(this.headerTimeout, defaults.headerTimeout()), orElse(this.idleTimeout, defaults.idleTimeout()));
	}

	private void readCallerOption(String option, int column) {
		String key = key(option);
		rejectTwice(key, column);
		switch (key) {
			case "header" -> {
				this.maximumHeaderBytes = number(option, "b", 1 << 20, column);
			}
			case "body" -> {
				this.maximumBodyBytes = number(option, "b", Integer.MAX_VALUE, column);
			}
			case "header-timeout" -> {
				this.headerTimeout = duration(option, column);
			}
			case "idle" -> {
				this.idleTimeout = duration(option, column);
			}
			default -> this.findings.add(this.line, column, key,
					"Unknown option for callers; header, body, header-timeout or idle is expected.");
		}
	}

	private static int orElse(int value, int fallback) {
		return (value >= 0) ? value : fallback;
	}

	private static Duration orElse(@Nullable Duration value, Duration fallback) {
		return (value != null) ? value : fallback;
	}

	private void readServiceOption(String option, int column) {
		String key = key(option);
		rejectTwice(key, column);
		switch (key) {
			case "queue" -> {
				this.queueLimit = number(option, "", 100_000, column);
			}
			case "wait" -> {
				this.queueTimeout = duration(option, column);
			}
			case "caller-share" -> {
				this.callerSharePercent = number(option, "%", 100, column);
			}
			case "probes" -> {
				this.probesPerSecond = number(option, "/s", 10_000, column);
			}
			case "pace-probes" -> {
				this.paceProbes = number(option, "/s", 1_000, column);
			}
			case "health" -> readHealthPath(option, column);
			case "retries" -> {
				this.retryPercent = number(option, "%", 100, column);
			}
			case "eject-after" -> {
				this.ejectionFailureThreshold = number(option, "", 1_000, column);
			}
			default -> this.findings.add(this.line, column, key,
					"Unknown service option; queue, wait, caller-share, probes, pace-probes, health, retries"
							+ " or eject-after is expected.");
		}
	}

	private void readRouteOption(String option, int column) {
		String key = key(option);
		rejectTwice(key, column);
		switch (key) {
			case "timeout" -> {
				this.timeout = duration(option, column);
			}
			case "total" -> {
				this.totalTimeout = duration(option, column);
			}
			case "objective" -> {
				this.objective = duration(option, column);
			}
			case "priority" -> {
				this.priority = number(option, "", 1_000, column);
			}
			case "attempts" -> {
				this.attempts = number(option, "", 100, column);
			}
			case "host" -> {
				this.host = value(option).toLowerCase(Locale.ROOT);
			}
			case "once", "repeatable", "upload" -> readMode(option, column);
			default -> this.findings.add(this.line, column, key,
					"Unknown route option; once, repeatable, upload, timeout, total, objective, priority, attempts"
							+ " or host is expected.");
		}
	}

	private void readHealthPath(String option, int column) {
		this.healthPath = value(option);
		if (!this.healthPath.startsWith("/")) {
			this.findings.add(this.line, column, "health", "A path that starts with a slash is expected.");
			this.healthPath = "/";
		}
	}

	private void readMode(String option, int column) {
		if (this.mode != null) {
			this.findings.add(this.line, column, option, "Only one of once, repeatable and upload may stand here.");
		}
		if (option.indexOf('=') >= 0) {
			this.findings.add(this.line, column, option, "The option takes no value.");
			return;
		}
		this.mode = RouteMode.valueOf(option.toUpperCase(Locale.ROOT));
	}

	private void rejectTwice(String key, int column) {
		if (!this.seen.add(key)) {
			this.findings.add(this.line, column, key, "The option stands twice; remove one.");
		}
	}

	private static String key(String option) {
		int equals = option.indexOf('=');
		return (equals < 0) ? option : option.substring(0, equals);
	}

	private static String value(String option) {
		return option.substring(Math.min(option.length(), key(option).length() + 1));
	}

	private int number(String option, String unit, int maximum, int column) {
		String value = value(option);
		String digits = value.endsWith(unit) ? value.substring(0, value.length() - unit.length()) : "";
		if (digits.matches("[0-9]{1,10}") && Long.parseLong(digits) <= maximum) {
			return Integer.parseInt(digits);
		}
		this.findings.add(this.line, column, key(option),
				"A whole number from 0 to " + maximum + " with the unit '" + unit + "' is expected.");
		return -1;
	}

	private @Nullable Duration duration(String option, int column) {
		Matcher matcher = DURATION.matcher(value(option));
		if (!matcher.matches()) {
			this.findings.add(this.line, column, key(option), "A duration such as 500ms, 2s or 1m is expected.");
			return null;
		}
		long amount = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			default -> Duration.ofMinutes(amount);
		};
	}

}
