package org.radishthread.rules;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Findings;

/**
 * Parser for the options of a workspace line, such as
 * {@code keys=DIGEST,DIGEST rate=2.5/s burst=10 priority=1}. Adds a finding for each
 * invalid option and uses the default value in its place.
 */
final class WorkspaceOptionsParser {

	private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");

	private static final Pattern PRIORITY = Pattern.compile("[0-9]{1,3}");

	private static final String RATE_UNIT = "/s";

	private final int line;

	private final TokenizedLine tokens;

	private final int firstOptionIndex;

	private final Findings findings;

	private List<String> keyDigests = List.of();

	private double requestsPerSecond;

	private double burst;

	private @Nullable Integer priority;

	WorkspaceOptionsParser(int line, TokenizedLine tokens, int firstOptionIndex, Findings findings) {
		this.line = line;
		this.tokens = tokens;
		this.firstOptionIndex = firstOptionIndex;
		this.findings = findings;
	}

	WorkspaceRule parse(String name) {
		Set<String> parsedKeys = new HashSet<>();
		for (int i = this.firstOptionIndex; i < this.tokens.size(); i++) {
			String option = this.tokens.text(i);
			int equals = option.indexOf('=');
			String key = (equals < 0) ? option : option.substring(0, equals);
			if (!parsedKeys.add(key)) {
				reject(i, key, "The option is given twice; remove one.");
			}
			parseOption(i, key, (equals < 0) ? "" : option.substring(equals + 1));
		}
		return new WorkspaceRule(name, this.keyDigests, this.requestsPerSecond, this.burst, this.priority);
	}

	private void parseOption(int index, String key, String value) {
		switch (key) {
			case "keys" -> {
				this.keyDigests = parseKeyDigests(index, value);
			}
			case "rate" -> {
				this.requestsPerSecond = parseRate(index, value);
			}
			case "burst" -> {
				this.burst = parseNumber(index, key, value, "A number from 0 is expected.");
			}
			case "priority" -> {
				this.priority = parsePriority(index, value);
			}
			default -> reject(index, key, "Unknown workspace option; keys, rate, burst or priority is expected.");
		}
	}

	// The value is not repeated in the finding, in case that it is a key itself.
	private List<String> parseKeyDigests(int index, String value) {
		List<String> digests = new ArrayList<>();
		for (String digest : value.split(",", -1)) {
			if (!KeyDigest.isValid(digest)) {
				reject(index, "keys",
						"Digests of keys are expected: the first 32 hexadecimal digits of their SHA-256 digests.");
				return List.of();
			}
			digests.add(digest);
		}
		return digests;
	}

	private double parseRate(int index, String value) {
		String number = value.endsWith(RATE_UNIT) ? value.substring(0, value.length() - RATE_UNIT.length()) : "";
		return parseNumber(index, "rate", number, "A rate such as 2.5/s is expected.");
	}

	private double parseNumber(int index, String key, String value, String expectation) {
		if (!NUMBER.matcher(value).matches()) {
			reject(index, key, expectation);
			return 0;
		}
		return Double.parseDouble(value);
	}

	private @Nullable Integer parsePriority(int index, String value) {
		if (!PRIORITY.matcher(value).matches()) {
			reject(index, "priority", "A whole number from 0 to 999 is expected.");
			return null;
		}
		return Integer.valueOf(value);
	}

	private void reject(int index, String key, String message) {
		this.findings.add(this.line, this.tokens.column(index), key, message);
	}

}
