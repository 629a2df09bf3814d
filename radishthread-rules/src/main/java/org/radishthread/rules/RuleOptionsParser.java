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
 * Parser for the options at the end of one line of a rule file. Adds a finding for each
 * invalid option and uses the default value in its place.
 */
final class RuleOptionsParser {

	private static final Pattern DURATION = Pattern.compile("([1-9][0-9]{0,8})(ms|s|m)");

	private static final Pattern RATE = Pattern.compile("([0-9]{1,9}(?:[.][0-9]{1,9})?)/s");

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration DEFAULT_UPLOAD_TIMEOUT = Duration.ofSeconds(60);

	private final int line;

	private final Findings findings;

	// In these fields, a negative number, null or an empty text means that the line does
	// not set the option.
	private int queueLimit = -1;

	private @Nullable Duration queueTimeout;

	private int callerSharePercent = -1;

	private int probesPerSecond = -1;

	private int retryPercent = -1;

	private int paceProbesPerSecond = -1;

	private String healthPath = "";

	private int ejectionFailureThreshold = -1;

	private @Nullable RouteMode mode;

	private @Nullable Duration timeout;

	private @Nullable Duration totalTimeout;

	private @Nullable Duration objective;

	private int priority = -1;

	private int maximumAttempts = -1;

	private String host = "";

	private boolean open;

	private double coldRequestsPerSecond;

	private int maximumHeaderBytes = -1;

	private long maximumBodyBytes = -1;

	private @Nullable Duration headerTimeout;

	private @Nullable Duration idleTimeout;

	private final Set<String> parsedKeys = new HashSet<>();

	private final TokenizedLine tokens;

	private final int firstOptionIndex;

	RuleOptionsParser(int line, TokenizedLine tokens, int firstOptionIndex, Findings findings) {
		this.line = line;
		this.tokens = tokens;
		this.firstOptionIndex = firstOptionIndex;
		this.findings = findings;
	}

	ServiceRule parseServiceRule(String service) {
		for (int i = this.firstOptionIndex; i < this.tokens.size(); i++) {
			parseServiceOption(this.tokens.text(i), this.tokens.column(i));
		}
		ServiceRule defaults = ServiceRule.defaults(service);
		return new ServiceRule(service, orElse(this.queueLimit, defaults.queueLimit()),
				orElse(this.queueTimeout, defaults.queueTimeout()),
				orElse(this.callerSharePercent, defaults.callerSharePercent()),
				orElse(this.probesPerSecond, defaults.probesPerSecond()),
				orElse(this.retryPercent, defaults.retryPercent()),
				orElse(this.ejectionFailureThreshold, defaults.ejectionFailureThreshold()), createPaceProbeRule(),
				this.coldRequestsPerSecond);
	}

	private @Nullable PaceProbeRule createPaceProbeRule() {
		if (this.paceProbesPerSecond <= 0) {
			return null;
		}
		return new PaceProbeRule(this.healthPath.isEmpty() ? "/" : this.healthPath, this.paceProbesPerSecond);
	}

	RouteRule parseRouteRule(List<WeightedService> split, String method, PathPattern pattern, String requestedBy) {
		for (int i = this.firstOptionIndex; i < this.tokens.size(); i++) {
			parseRouteOption(this.tokens.text(i), this.tokens.column(i));
		}
		RouteMode effectiveMode = (this.mode != null) ? this.mode : RouteMode.defaultFor(method);
		Duration defaultTimeout = effectiveMode.isBodyStreamed() ? DEFAULT_UPLOAD_TIMEOUT : DEFAULT_TIMEOUT;
		Duration effectiveTimeout = orElse(this.timeout, defaultTimeout);
		RouteLimits limits = new RouteLimits(effectiveTimeout, this.totalTimeout,
				orElse(this.objective, effectiveTimeout), orElse(this.priority, RouteLimits.DEFAULT_PRIORITY),
				orElse(this.maximumAttempts, RouteLimits.DEFAULT_MAXIMUM_ATTEMPTS));
		return new RouteRule(this.line, split.get(0).service(), split, new RouteMatch(this.host, method, pattern),
				effectiveMode, limits, requestedBy, this.open);
	}

	CallerLimits parseCallerLimits() {
		for (int i = this.firstOptionIndex; i < this.tokens.size(); i++) {
			parseCallerOption(this.tokens.text(i), this.tokens.column(i));
		}
		CallerLimits defaults = CallerLimits.DEFAULTS;
		return new CallerLimits(orElse(this.maximumHeaderBytes, defaults.maximumHeaderBytes()),
				(this.maximumBodyBytes >= 0) ? this.maximumBodyBytes : defaults.maximumBodyBytes(),
				orElse(this.headerTimeout, defaults.headerTimeout()), orElse(this.idleTimeout, defaults.idleTimeout()));
	}

	private void parseCallerOption(String option, int column) {
		String key = optionKey(option);
		rejectDuplicate(key, column);
		switch (key) {
			case "header" -> {
				this.maximumHeaderBytes = parseNumber(option, "b", 1 << 20, column);
			}
			case "body" -> {
				this.maximumBodyBytes = parseNumber(option, "b", Integer.MAX_VALUE, column);
			}
			case "header-timeout" -> {
				this.headerTimeout = parseDuration(option, column);
			}
			case "idle" -> {
				this.idleTimeout = parseDuration(option, column);
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

	private void parseServiceOption(String option, int column) {
		String key = optionKey(option);
		rejectDuplicate(key, column);
		switch (key) {
			case "queue" -> {
				this.queueLimit = parseNumber(option, "", 100_000, column);
			}
			case "wait" -> {
				this.queueTimeout = parseDuration(option, column);
			}
			case "caller-share" -> {
				this.callerSharePercent = parseNumber(option, "%", 100, column);
			}
			case "probes" -> {
				this.probesPerSecond = parseNumber(option, "/s", 10_000, column);
			}
			case "pace-probes" -> {
				this.paceProbesPerSecond = parseNumber(option, "/s", 1_000, column);
			}
			case "health" -> parseHealthPath(option, column);
			case "retries" -> {
				this.retryPercent = parseNumber(option, "%", 100, column);
			}
			case "cold-rate" -> {
				this.coldRequestsPerSecond = parseRate(option, column);
			}
			case "eject-after" -> {
				this.ejectionFailureThreshold = parseNumber(option, "", 1_000, column);
			}
			default -> this.findings.add(this.line, column, key,
					"Unknown service option; queue, wait, caller-share, probes, pace-probes, health, retries,"
							+ " cold-rate or eject-after is expected.");
		}
	}

	private void parseRouteOption(String option, int column) {
		String key = optionKey(option);
		rejectDuplicate(key, column);
		switch (key) {
			case "timeout" -> {
				this.timeout = parseDuration(option, column);
			}
			case "total" -> {
				this.totalTimeout = parseDuration(option, column);
			}
			case "objective" -> {
				this.objective = parseDuration(option, column);
			}
			case "priority" -> {
				this.priority = parseNumber(option, "", RouteLimits.MAXIMUM_PRIORITY, column);
			}
			case "attempts" -> {
				this.maximumAttempts = parseNumber(option, "", 100, column);
			}
			case "host" -> {
				this.host = optionValue(option).toLowerCase(Locale.ROOT);
			}
			case "open" -> parseOpen(option, column);
			case "once", "repeatable", "upload" -> parseMode(option, column);
			default -> this.findings.add(this.line, column, key,
					"Unknown route option; once, repeatable, upload, open, timeout, total, objective, priority,"
							+ " attempts or host is expected.");
		}
	}

	private void parseHealthPath(String option, int column) {
		this.healthPath = optionValue(option);
		if (!this.healthPath.startsWith("/")) {
			this.findings.add(this.line, column, "health", "A path that starts with a slash is expected.");
			this.healthPath = "/";
		}
	}

	private void parseMode(String option, int column) {
		if (this.mode != null) {
			this.findings.add(this.line, column, option, "Only one of once, repeatable and upload is permitted.");
		}
		if (option.indexOf('=') >= 0) {
			this.findings.add(this.line, column, option, "The option takes no value.");
			return;
		}
		this.mode = RouteMode.valueOf(option.toUpperCase(Locale.ROOT));
	}

	private void parseOpen(String option, int column) {
		if (option.indexOf('=') >= 0) {
			this.findings.add(this.line, column, "open", "The option takes no value.");
		}
		this.open = true;
	}

	private double parseRate(String option, int column) {
		Matcher matcher = RATE.matcher(optionValue(option));
		if (matcher.matches()) {
			return Double.parseDouble(matcher.group(1));
		}
		this.findings.add(this.line, column, optionKey(option), "A rate such as 2.5/s is expected.");
		return 0;
	}

	private void rejectDuplicate(String key, int column) {
		if (!this.parsedKeys.add(key)) {
			this.findings.add(this.line, column, key, "The option is given twice; remove one.");
		}
	}

	private static String optionKey(String option) {
		int equals = option.indexOf('=');
		return (equals < 0) ? option : option.substring(0, equals);
	}

	private static String optionValue(String option) {
		return option.substring(Math.min(option.length(), optionKey(option).length() + 1));
	}

	private int parseNumber(String option, String unit, int maximum, int column) {
		String value = optionValue(option);
		String digits = value.endsWith(unit) ? value.substring(0, value.length() - unit.length()) : "";
		if (digits.matches("[0-9]{1,10}") && Long.parseLong(digits) <= maximum) {
			return Integer.parseInt(digits);
		}
		this.findings.add(this.line, column, optionKey(option),
				"A whole number from 0 to " + maximum + " with the unit '" + unit + "' is expected.");
		return -1;
	}

	private @Nullable Duration parseDuration(String option, int column) {
		Matcher matcher = DURATION.matcher(optionValue(option));
		if (!matcher.matches()) {
			this.findings.add(this.line, column, optionKey(option), "A duration such as 500ms, 2s or 1m is expected.");
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
