package org.radishthread.rules;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Findings;
import org.radishthread.kernel.FindingsException;

/**
 * Parses rule files. All findings of a file are reported together, with line and column.
 */
public final class RuleParser {

	/**
	 * The greatest size of a rule file in bytes.
	 */
	public static final int MAXIMUM_FILE_BYTES = 4 * 1024 * 1024;

	private static final Pattern ASKED_BY = Pattern.compile("\\s*asked by\\s+(\\S.*)");

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final Pattern WEIGHTED = Pattern.compile("(" + NAME + "):([0-9]{1,9}(?:\\.[0-9]{1,9})?)");

	private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}|\\*");

	private final Findings findings;

	private final String text;

	private long revision;

	private final Map<String, ServiceRule> services = new LinkedHashMap<>();

	private final List<RouteRule> routes = new ArrayList<>();

	private @Nullable CallerLimits callerLimits;

	private RuleParser(String source, String text) {
		this.findings = new Findings(source);
		this.text = text;
	}

	/**
	 * Parses a rule file.
	 * @param source the name of the file, for findings
	 * @param text the content
	 * @return the rules
	 * @throws FindingsException with every defect found
	 */
	public static RuleSet parse(String source, String text) {
		RuleParser parser = new RuleParser(source, text);
		parser.parseLines();
		parser.findings.throwIfAny();
		CallerLimits limits = parser.callerLimits;
		return new RuleSet(parser.revision, Map.copyOf(parser.services), List.copyOf(parser.routes),
				(limits != null) ? limits : CallerLimits.DEFAULTS);
	}

	private void parseLines() {
		if (this.text.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_FILE_BYTES) {
			this.findings.add(1, 1, "", "The file must not exceed " + MAXIMUM_FILE_BYTES + " bytes.");
			return;
		}
		String[] lines = this.text.split("\r?\n", -1);
		for (int i = 0; i < lines.length; i++) {
			parseLine(i + 1, lines[i]);
		}
		if (this.revision == 0 && this.findings.isEmpty()) {
			this.findings.add(1, 1, "revision",
					"The file must name its revision: 'revision NUMBER   # asked by NAME'.");
		}
	}

	private void parseLine(int line, String content) {
		int hash = content.indexOf('#');
		String rule = (hash >= 0) ? content.substring(0, hash) : content;
		if (rule.isBlank()) {
			return;
		}
		String comment = (hash >= 0) ? content.substring(hash + 1) : "";
		Matcher matcher = ASKED_BY.matcher(comment);
		boolean asked = matcher.matches();
		if (!asked) {
			int column = (hash >= 0) ? hash + 1 : rule.stripTrailing().length() + 1;
			this.findings.add(line, column, "", "The comment must name who asked: '# asked by NAME, DATE'.");
		}
		parseRule(line, Words.split(rule), asked ? matcher.group(1).strip() : "");
	}

	private void parseRule(int line, Words words, String requestedBy) {
		switch (words.text(0)) {
			case "revision" -> parseRevision(line, words);
			case "service" -> parseService(line, words);
			case "route" -> parseRoute(line, words, requestedBy);
			case "callers" -> parseCallers(line, words);
			default -> this.findings.add(line, words.column(0), words.text(0),
					"Unknown rule; 'revision', 'service', 'route' or 'callers' is expected.");
		}
	}

	private void parseRevision(int line, Words words) {
		if (words.size() != 2 || !words.text(1).matches("[1-9][0-9]{0,17}")) {
			this.findings.add(line, words.column(1), "revision", "One whole number greater than zero is expected.");
			return;
		}
		if (this.revision != 0) {
			this.findings.add(line, words.column(0), "revision", "The revision stands twice; remove one.");
		}
		this.revision = Long.parseLong(words.text(1));
	}

	private void parseService(int line, Words words) {
		if (!checkName(line, words, 1)) {
			return;
		}
		RuleOptions options = new RuleOptions(line, words, 2, this.findings);
		ServiceRule rule = options.toServiceRule(words.text(1));
		if (this.services.putIfAbsent(words.text(1), rule) != null) {
			this.findings.add(line, words.column(1), words.text(1), "The service stands twice; join the lines.");
		}
	}

	private void parseCallers(int line, Words words) {
		if (this.callerLimits != null) {
			this.findings.add(line, words.column(0), "callers", "The limits of callers stand twice; join the lines.");
		}
		this.callerLimits = new RuleOptions(line, words, 1, this.findings).toCallerLimits();
	}

	private void parseRoute(int line, Words words, String requestedBy) {
		List<WeightedService> split = parseSplit(line, words);
		boolean method = check(line, words, 2, METHOD, "An HTTP method in capitals or '*' is expected.");
		if (split.isEmpty() || !method) {
			return;
		}
		if (!words.has(3)) {
			this.findings.add(line, words.column(3), "route", "A path pattern is expected.");
			return;
		}
		try {
			PathPattern pattern = new PathPattern(words.text(3));
			RuleOptions options = new RuleOptions(line, words, 4, this.findings);
			this.routes.add(options.toRouteRule(split, words.text(2), pattern, requestedBy));
		}
		catch (IllegalArgumentException ex) {
			this.findings.add(line, words.column(3), "route", String.valueOf(ex.getMessage()));
		}
	}

	// One service, or several with weights: 'swapdesk:90,swapdesk-next:10'.
	private List<WeightedService> parseSplit(int line, Words words) {
		if (!words.has(1) || words.text(1).indexOf(':') < 0) {
			return checkName(line, words, 1) ? List.of(new WeightedService(words.text(1), 1)) : List.of();
		}
		List<WeightedService> split = new ArrayList<>();
		for (String part : words.text(1).split(",", -1)) {
			Matcher matcher = WEIGHTED.matcher(part);
			if (!matcher.matches()) {
				this.findings.add(line, words.column(1), "route",
						"Services with weights such as 'swapdesk:90,swapdesk-next:10' are expected.");
				return List.of();
			}
			split.add(new WeightedService(matcher.group(1), Double.parseDouble(matcher.group(2))));
		}
		return split;
	}

	private boolean checkName(int line, Words words, int index) {
		return check(line, words, index, NAME, "A service name of lower-case letters, digits and '-' is expected.");
	}

	private boolean check(int line, Words words, int index, Pattern pattern, String message) {
		boolean valid = words.has(index) && pattern.matcher(words.text(index)).matches();
		if (!valid) {
			this.findings.add(line, words.column(index), words.text(0), message);
		}
		return valid;
	}

}
