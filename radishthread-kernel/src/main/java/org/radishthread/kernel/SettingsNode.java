package org.radishthread.kernel;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Reads a mapping of a YAML file, and reports invalid values as findings with their line
 * and path. After all supported keys have been read, {@link #rejectUnknownKeys()} reports
 * the others. Not thread-safe.
 */
public final class SettingsNode {

	private static final int MAXIMUM_CODE_POINTS = 1 << 20;

	private final String path;

	private final @Nullable MappingNode mapping;

	private final Findings findings;

	private final Map<String, Node> nodes = new HashMap<>();

	private final Set<String> readKeys = new HashSet<>();

	private SettingsNode(String path, @Nullable MappingNode mapping, Findings findings) {
		this.path = path;
		this.mapping = mapping;
		this.findings = findings;
		if (mapping != null) {
			mapping.getValue().forEach(this::addNode);
		}
	}

	/**
	 * Parses the text of a YAML file. A syntax error is reported as a finding.
	 * @param text the text of the file
	 * @param findings receives the findings
	 * @return the root mapping, which is empty if the text is not a YAML mapping
	 */
	public static SettingsNode parse(String text, Findings findings) {
		LoaderOptions options = new LoaderOptions();
		options.setCodePointLimit(MAXIMUM_CODE_POINTS);
		try {
			Node root = new Yaml(options).compose(new StringReader(text));
			if (root instanceof MappingNode mappingNode) {
				return new SettingsNode("", mappingNode, findings);
			}
			findings.add(1, 1, "", "A mapping of settings is expected.");
		}
		catch (MarkedYAMLException ex) {
			Mark mark = ex.getProblemMark();
			int line = (mark != null) ? mark.getLine() + 1 : 1;
			int column = (mark != null) ? mark.getColumn() + 1 : 1;
			findings.add(line, column, "", "Not valid YAML: " + ex.getProblem() + ".");
		}
		catch (YAMLException ex) {
			findings.add(1, 1, "", "Not valid YAML: " + ex.getMessage());
		}
		return new SettingsNode("", null, findings);
	}

	private void addNode(NodeTuple tuple) {
		String key = (tuple.getKeyNode() instanceof ScalarNode scalar) ? scalar.getValue() : "?";
		if (this.nodes.put(key, tuple.getValueNode()) != null) {
			report(tuple.getKeyNode(), key, "Duplicate setting; keep only one.");
		}
	}

	private void report(@Nullable Node location, String key, String message) {
		Node node = (location != null) ? location : this.mapping;
		int line = (node != null) ? node.getStartMark().getLine() + 1 : 1;
		int column = (node != null) ? node.getStartMark().getColumn() + 1 : 1;
		this.findings.add(line, column, childPath(key), message);
	}

	private String childPath(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private @Nullable Node readNode(String key) {
		this.readKeys.add(key);
		return this.nodes.get(key);
	}

	/**
	 * Reports a finding about a key of this mapping.
	 * @param key the key
	 * @param message what is wrong and how to correct it
	 */
	public void reject(String key, String message) {
		report(this.nodes.get(key), key, message);
	}

	public boolean has(String key) {
		return this.nodes.containsKey(key);
	}

	/**
	 * Returns a nested mapping.
	 * @param key the key
	 * @return the mapping, which is empty if the key is absent, has no value, or has one
	 * that is not a mapping
	 */
	public SettingsNode getSection(String key) {
		Node node = readNode(key);
		if (node instanceof MappingNode mappingNode) {
			return new SettingsNode(childPath(key), mappingNode, this.findings);
		}
		boolean empty = node != null && node.getTag().equals(Tag.NULL);
		if (node != null && !empty) {
			report(node, key, "A mapping is expected.");
		}
		return new SettingsNode(childPath(key), null, this.findings);
	}

	/**
	 * Returns a string that must be present.
	 * @param key the key
	 * @return the string, or an empty one after a finding
	 */
	public String getRequiredString(String key) {
		if (readNode(key) == null) {
			report(null, key, "Required setting is missing; add it.");
			return "";
		}
		return getString(key, "");
	}

	/**
	 * Returns a string.
	 * @param key the key
	 * @param defaultValue the string if the key is absent
	 * @return the string, or the default after a finding
	 */
	public String getString(String key, String defaultValue) {
		Node node = readNode(key);
		if (node == null) {
			return defaultValue;
		}
		if (node instanceof ScalarNode scalar && !scalar.getValue().isBlank()) {
			return scalar.getValue();
		}
		report(node, key, "A non-empty string is expected.");
		return defaultValue;
	}

	/**
	 * Returns a boolean, written {@code true} or {@code false}.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the value, or the default after a finding
	 */
	public boolean getBoolean(String key, boolean defaultValue) {
		Node node = readNode(key);
		if (node == null) {
			return defaultValue;
		}
		if (node instanceof ScalarNode scalar && scalar.getValue().matches("true|false")) {
			return Boolean.parseBoolean(scalar.getValue());
		}
		report(node, key, "Either true or false is expected.");
		return defaultValue;
	}

	/**
	 * Returns an integer.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param minimum the smallest value allowed
	 * @param maximum the greatest value allowed
	 * @return the value, or the default after a finding
	 */
	public long getLong(String key, long defaultValue, long minimum, long maximum) {
		return readNumber(key, defaultValue, Long::valueOf, (value) -> value >= minimum && value <= maximum,
				"An integer from " + minimum + " to " + maximum + " is expected.");
	}

	/**
	 * Returns a positive number.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the value, or the default after a finding
	 */
	public double getNumber(String key, double defaultValue) {
		return readNumber(key, defaultValue, Double::valueOf, (value) -> value > 0 && Double.isFinite(value),
				"A positive number is expected.");
	}

	/**
	 * Returns a number within a range.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param minimum the lowest valid value
	 * @param maximum the highest valid value
	 * @return the value, or the default after a finding
	 */
	public double getNumber(String key, double defaultValue, long minimum, long maximum) {
		return readNumber(key, defaultValue, Double::valueOf, (value) -> value >= minimum && value <= maximum,
				"A number from " + minimum + " to " + maximum + " is expected.");
	}

	private <T extends Number> T readNumber(String key, T defaultValue, Function<String, T> parser, Predicate<T> valid,
			String expectation) {
		Node node = readNode(key);
		if (node == null) {
			return defaultValue;
		}
		try {
			T value = parser.apply(getString(key, ""));
			if (valid.test(value)) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, in the same way as a value out of range.
		}
		report(node, key, expectation);
		return defaultValue;
	}

	/**
	 * Returns a list of strings.
	 * @param key the key
	 * @return the strings without those that are invalid; empty if the key is absent
	 */
	public List<String> getStrings(String key) {
		Node node = readNode(key);
		List<String> result = new ArrayList<>();
		if (node == null) {
			return result;
		}
		if (!(node instanceof SequenceNode sequence)) {
			report(node, key, "A list of strings is expected.");
			return result;
		}
		for (Node element : sequence.getValue()) {
			if (element instanceof ScalarNode scalar && !scalar.getValue().isBlank()) {
				result.add(scalar.getValue());
			}
			else {
				report(element, key, "A non-empty string is expected.");
			}
		}
		return result;
	}

	/**
	 * Returns a list of enum constants, which are written in lower case.
	 * @param <E> the type of the enum
	 * @param key the key
	 * @param type the class of the enum
	 * @return the constants without those that are invalid; empty if the key is absent
	 */
	public <E extends Enum<E>> Set<E> getEnumConstants(String key, Class<E> type) {
		Set<E> result = new HashSet<>();
		for (String name : getStrings(key)) {
			try {
				result.add(Enum.valueOf(type, name.toUpperCase(Locale.ROOT)));
			}
			catch (IllegalArgumentException ex) {
				reject(key, "Unknown value '" + name + "'.");
			}
		}
		return result;
	}

	/**
	 * Reports a finding for each key that has not been read.
	 */
	public void rejectUnknownKeys() {
		for (Map.Entry<String, Node> entry : this.nodes.entrySet()) {
			if (!this.readKeys.contains(entry.getKey())) {
				report(entry.getValue(), entry.getKey(), "Unknown setting; remove it or correct its name.");
			}
		}
	}

}
