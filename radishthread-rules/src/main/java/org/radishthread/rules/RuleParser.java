package org.radishthread.rules;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Findings;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.ServiceName;

/**
 * Parser for rule files. Reports all findings of a file together, each with its line and
 * column.
 */
public final class RuleParser {

	/**
	 * The maximum size of a rule file in bytes.
	 */
	public static final int MAXIMUM_FILE_BYTES = 4 * 1024 * 1024;

	private static final Pattern REQUESTER_COMMENT = Pattern.compile("\\s*asked by\\s+(\\S.*)");

	private static final Pattern SERVICE_NAME = Pattern.compile(ServiceName.REGULAR_EXPRESSION);

	private static final Pattern WORKSPACE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	// Has room for each finite number in plain digits.
	private static final Pattern WEIGHTED_SERVICE = Pattern
		.compile("(" + SERVICE_NAME + "):([0-9]{1,309}(?:\\.[0-9]{1,340})?)");

	private static final Pattern HTTP_METHOD = Pattern.compile("[A-Z]{1,16}|\\*");

	private final Findings findings;

	private final String text;

	private long revision;

	private final Map<String, ServiceRule> services = new LinkedHashMap<>();

	private final List<RouteRule> routes = new ArrayList<>();

	private final Map<String, WorkspaceRule> workspaces = new LinkedHashMap<>();

	// Keyed by the digests of all keys.
	private final Map<String, String> workspaceNamesByKeyDigest = new HashMap<>();

	private @Nullable CallerLimits callerLimits;

	// The rules of a former file by the text of their lines.
	private final Map<String, LineRule> knownRules;

	// The rules of this file by the text of their lines.
	private final Map<String, LineRule> rulesByText = new HashMap<>();

	private int parsedLineCount;

	RuleParser(String source, String text, Map<String, LineRule> knownRules) {
		this.findings = new Findings(source);
		this.text = text;
		this.knownRules = knownRules;
	}

	/**
	 * Parses a rule file.
	 * @param source the name of the file, as shown in findings
	 * @param text the content of the file
	 * @return the rules
	 * @throws FindingsException with all findings, if the file is invalid
	 */
	public static RuleSet parse(String source, String text) {
		return new RuleParser(source, text, Map.of()).parse();
	}

	RuleSet parse() {
		parseLines();
		this.findings.throwIfAny();
		CallerLimits limits = this.callerLimits;
		return new RuleSet(this.revision, Map.copyOf(this.services), List.copyOf(this.routes),
				(limits != null) ? limits : CallerLimits.DEFAULTS, Map.copyOf(this.workspaces));
	}

	// The rules of the file by the text of their lines, if it is valid.
	Map<String, LineRule> rulesByText() {
		return this.rulesByText;
	}

	int parsedLineCount() {
		return this.parsedLineCount;
	}

	private void parseLines() {
		if (this.text.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_FILE_BYTES) {
			this.findings.add(1, 1, "", "The file must not exceed " + MAXIMUM_FILE_BYTES + " bytes.");
			return;
		}
		int line = 0;
		for (int start = 0, end; start <= this.text.length(); start = end + 1) {
			int lineFeed = this.text.indexOf('\n', start);
			end = (lineFeed >= 0) ? lineFeed : this.text.length();
			boolean carriageReturn = lineFeed > start && this.text.charAt(lineFeed - 1) == '\r';
			line++;
			readLine(line, this.text.substring(start, carriageReturn ? end - 1 : end));
		}
		if (this.revision == 0 && this.findings.isEmpty()) {
			this.findings.add(1, 1, "revision",
					"The file must name its revision: 'revision NUMBER   # asked by NAME'.");
		}
	}

	private void readLine(int line, String content) {
		LineRule knownRule = this.knownRules.get(content);
		if (knownRule == null || !addKnownRule(line, knownRule)) {
			parseLine(line, content);
		}
		else {
			this.rulesByText.put(content, knownRule);
		}
	}

	// Returns false if the rule contradicts a former line, so that the line must be
	// parsed to give a finding.
	private boolean addKnownRule(int line, LineRule rule) {
		if (rule instanceof RouteRule route) {
			this.routes.add(route.withLine(line));
			return true;
		}
		if (rule instanceof ServiceRule service) {
			return this.services.putIfAbsent(service.service(), service) == null;
		}
		if (rule instanceof WorkspaceRule workspace) {
			boolean contradicts = this.workspaces.containsKey(workspace.name())
					|| workspace.keyDigests().stream().anyMatch(this.workspaceNamesByKeyDigest::containsKey);
			if (!contradicts) {
				this.workspaces.put(workspace.name(), workspace);
				workspace.keyDigests()
					.forEach((digest) -> this.workspaceNamesByKeyDigest.put(digest, workspace.name()));
			}
			return !contradicts;
		}
		if (this.callerLimits != null) {
			return false;
		}
		this.callerLimits = (CallerLimits) rule;
		return true;
	}

	private void parseLine(int line, String content) {
		int commentStart = content.indexOf('#');
		String ruleText = (commentStart >= 0) ? content.substring(0, commentStart) : content;
		if (ruleText.isBlank()) {
			return;
		}
		String comment = (commentStart >= 0) ? content.substring(commentStart + 1) : "";
		Matcher matcher = REQUESTER_COMMENT.matcher(comment);
		boolean hasRequester = matcher.matches();
		if (!hasRequester) {
			int column = (commentStart >= 0) ? commentStart + 1 : ruleText.stripTrailing().length() + 1;
			this.findings.add(line, column, "", "The comment must name the requester: '# asked by NAME, DATE'.");
		}
		this.parsedLineCount++;
		LineRule rule = parseRule(line, TokenizedLine.tokenize(ruleText), hasRequester ? matcher.group(1).strip() : "");
		if (rule != null) {
			this.rulesByText.put(content, rule);
		}
	}

	// Returns the rule, or null if the line defines none.
	private @Nullable LineRule parseRule(int line, TokenizedLine tokens, String requestedBy) {
		return switch (tokens.text(0)) {
			case "service" -> parseService(line, tokens);
			case "route" -> parseRoute(line, tokens, requestedBy);
			case "callers" -> parseCallers(line, tokens);
			case "workspace" -> parseWorkspace(line, tokens);
			case "revision" -> {
				parseRevision(line, tokens);
				yield null;
			}
			default -> {
				this.findings.add(line, tokens.column(0), tokens.text(0),
						"Unknown rule; 'revision', 'service', 'route', 'callers' or 'workspace' is expected.");
				yield null;
			}
		};
	}

	private void parseRevision(int line, TokenizedLine tokens) {
		if (tokens.size() != 2 || !tokens.text(1).matches("[1-9][0-9]{0,17}")) {
			this.findings.add(line, tokens.column(1), "revision", "One whole number greater than zero is expected.");
			return;
		}
		if (this.revision != 0) {
			this.findings.add(line, tokens.column(0), "revision", "The revision is given twice; remove one.");
		}
		this.revision = Long.parseLong(tokens.text(1));
	}

	private @Nullable LineRule parseService(int line, TokenizedLine tokens) {
		if (!checkServiceName(line, tokens, 1)) {
			return null;
		}
		RuleOptionsParser options = new RuleOptionsParser(line, tokens, 2, this.findings);
		ServiceRule rule = options.parseServiceRule(tokens.text(1));
		if (this.services.putIfAbsent(tokens.text(1), rule) != null) {
			this.findings.add(line, tokens.column(1), tokens.text(1), "The service stands twice; join the lines.");
		}
		return rule;
	}

	private LineRule parseCallers(int line, TokenizedLine tokens) {
		if (this.callerLimits != null) {
			this.findings.add(line, tokens.column(0), "callers",
					"The limits of callers are given twice; join the lines.");
		}
		CallerLimits limits = new RuleOptionsParser(line, tokens, 1, this.findings).parseCallerLimits();
		this.callerLimits = limits;
		return limits;
	}

	private @Nullable LineRule parseWorkspace(int line, TokenizedLine tokens) {
		if (!checkToken(line, tokens, 1, WORKSPACE_NAME,
				"A workspace name of letters, digits, '.', '_' and '-' is expected.")) {
			return null;
		}
		WorkspaceRule rule = new WorkspaceOptionsParser(line, tokens, 2, this.findings).parse(tokens.text(1));
		if (this.workspaces.putIfAbsent(rule.name(), rule) != null) {
			this.findings.add(line, tokens.column(1), rule.name(), "The workspace stands twice; join the lines.");
		}
		for (String keyDigest : rule.keyDigests()) {
			String otherName = this.workspaceNamesByKeyDigest.putIfAbsent(keyDigest, rule.name());
			if (otherName != null && !otherName.equals(rule.name())) {
				this.findings.add(line, tokens.column(1), rule.name(),
						"The workspace has a key in common with '" + otherName + "'.");
			}
		}
		return rule;
	}

	private @Nullable LineRule parseRoute(int line, TokenizedLine tokens, String requestedBy) {
		List<WeightedService> split = parseSplit(line, tokens);
		boolean validMethod = checkToken(line, tokens, 2, HTTP_METHOD,
				"An HTTP method in capitals or '*' is expected.");
		if (split.isEmpty() || !validMethod) {
			return null;
		}
		if (!tokens.hasToken(3)) {
			this.findings.add(line, tokens.column(3), "route", "A path pattern is expected.");
			return null;
		}
		try {
			PathPattern pattern = new PathPattern(tokens.text(3));
			RuleOptionsParser options = new RuleOptionsParser(line, tokens, 4, this.findings);
			RouteRule rule = options.parseRouteRule(split, tokens.text(2), pattern, requestedBy);
			this.routes.add(rule);
			return rule;
		}
		catch (IllegalArgumentException ex) {
			this.findings.add(line, tokens.column(3), "route", String.valueOf(ex.getMessage()));
			return null;
		}
	}

	// Parses one service, or several with weights such as 'swapdesk:90,swapdesk-next:10'.
	private List<WeightedService> parseSplit(int line, TokenizedLine tokens) {
		if (!tokens.hasToken(1) || tokens.text(1).indexOf(':') < 0) {
			return checkServiceName(line, tokens, 1) ? List.of(new WeightedService(tokens.text(1), 1)) : List.of();
		}
		List<WeightedService> split = new ArrayList<>();
		for (String part : tokens.text(1).split(",", -1)) {
			Matcher matcher = WEIGHTED_SERVICE.matcher(part);
			if (!matcher.matches() || Double.isInfinite(Double.parseDouble(matcher.group(2)))) {
				this.findings.add(line, tokens.column(1), "route",
						"Services with weights such as 'swapdesk:90,swapdesk-next:10' are expected.");
				return List.of();
			}
			split.add(new WeightedService(matcher.group(1), Double.parseDouble(matcher.group(2))));
		}
		return split;
	}

	private boolean checkServiceName(int line, TokenizedLine tokens, int index) {
		return checkToken(line, tokens, index, SERVICE_NAME,
				"A service name of letters, digits, '.', '_' and '-' is expected.");
	}

	// Adds a finding unless the token exists and matches the pattern.
	private boolean checkToken(int line, TokenizedLine tokens, int index, Pattern pattern, String message) {
		boolean valid = tokens.hasToken(index) && pattern.matcher(tokens.text(index)).matches();
		if (!valid) {
			this.findings.add(line, tokens.column(index), tokens.text(0), message);
		}
		return valid;
	}

}
