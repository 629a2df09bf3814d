package org.radishthread.kernel;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

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

/**
 * Reads one mapping of a YAML file and collects findings with their line and path. A
 * reader asks for each element that it knows and then calls {@link #rejectUnknown()}.
 */
public final class SettingsNode {

	private static final int MAXIMUM_CODE_POINTS = 1 << 20;

	private final String path;

	private final @Nullable MappingNode mapping;

	private final Findings findings;

	private final Map<String, Node> values = new HashMap<>();

	private final Set<String> known = new HashSet<>();

	private SettingsNode(String path, @Nullable MappingNode mapping, Findings findings) {
		this.path = path;
		this.mapping = mapping;
		this.findings = findings;
		if (mapping != null) {
			mapping.getValue().forEach(this::addValue);
		}
	}

	/**
	 * Parses a YAML text; a syntax error becomes a finding.
	 * @param text the text
	 * @param findings where findings go
	 * @return the root mapping, empty if the text has none
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

	private void addValue(NodeTuple tuple) {
		String key = (tuple.getKeyNode() instanceof ScalarNode scalar) ? scalar.getValue() : "?";
		if (this.values.put(key, tuple.getValueNode()) != null) {
			report(tuple.getKeyNode(), key, "The setting stands twice; remove one.");
		}
	}

	private void report(@Nullable Node place, String key, String message) {
		Node node = (place != null) ? place : this.mapping;
		int line = (node != null) ? node.getStartMark().getLine() + 1 : 1;
		int column = (node != null) ? node.getStartMark().getColumn() + 1 : 1;
		this.findings.add(line, column, childPath(key), message);
	}

	private String childPath(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private @Nullable Node take(String key) {
		this.known.add(key);
		return this.values.get(key);
	}

	/**
	 * Reports a finding at an element of this mapping.
	 * @param key the element
	 * @param message what is wrong and what to do
	 */
	public void reject(String key, String message) {
		report(this.values.get(key), key, message);
	}

	public boolean has(String key) {
		return this.values.containsKey(key);
	}

	/**
	 * Returns a nested mapping.
	 * @param key the element
	 * @return the mapping, empty if it is absent or of another kind
	 */
	public SettingsNode section(String key) {
		Node node = take(key);
		if (node instanceof MappingNode mappingNode) {
			return new SettingsNode(childPath(key), mappingNode, this.findings);
		}
		if (node != null) {
			report(node, key, "A mapping is expected.");
		}
		return new SettingsNode(childPath(key), null, this.findings);
	}

	/**
	 * Returns a text that must be present.
	 * @param key the element
	 * @return the text, or an empty text after a finding
	 */
	public String requiredText(String key) {
		if (take(key) == null) {
			report(null, key, "The setting is missing; give a value.");
			return "";
		}
		return text(key, "");
	}

	/**
	 * Returns a text.
	 * @param key the element
	 * @param fallback the text if the element is absent
	 * @return the text, or the fallback after a finding
	 */
	public String text(String key, String fallback) {
		Node node = take(key);
		if (node == null) {
			return fallback;
		}
		if (node instanceof ScalarNode scalar && !scalar.getValue().isBlank()) {
			return scalar.getValue();
		}
		report(node, key, "A text is expected.");
		return fallback;
	}

	/**
	 * Returns a truth value, written {@code true} or {@code false}.
	 * @param key the element
	 * @param fallback the value if the element is absent
	 * @return the value, or the fallback after a finding
	 */
	public boolean flag(String key, boolean fallback) {
		Node node = take(key);
		if (node == null) {
			return fallback;
		}
		if (node instanceof ScalarNode scalar && scalar.getValue().matches("true|false")) {
			return Boolean.parseBoolean(scalar.getValue());
		}
		report(node, key, "One of true and false is expected.");
		return fallback;
	}

	/**
	 * Returns a whole number.
	 * @param key the element
	 * @param fallback the number if the element is absent
	 * @param minimum the least number allowed
	 * @param maximum the greatest number allowed
	 * @return the number, or the fallback after a finding
	 */
	public long number(String key, long fallback, long minimum, long maximum) {
		Node node = take(key);
		if (node == null) {
			return fallback;
		}
		try {
			long value = Long.parseLong(text(key, ""));
			if (value >= minimum && value <= maximum) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// The finding below names the place and the range.
		}
		report(node, key, "A whole number from " + minimum + " to " + maximum + " is expected.");
		return fallback;
	}

	/**
	 * Returns a sequence of texts.
	 * @param key the element
	 * @return the texts, empty if the element is absent
	 */
	public List<String> texts(String key) {
		Node node = take(key);
		List<String> result = new ArrayList<>();
		if (node == null) {
			return result;
		}
		if (!(node instanceof SequenceNode sequence)) {
			report(node, key, "A list of texts is expected.");
			return result;
		}
		for (Node element : sequence.getValue()) {
			if (element instanceof ScalarNode scalar && !scalar.getValue().isBlank()) {
				result.add(scalar.getValue());
			}
			else {
				report(element, key, "A text is expected.");
			}
		}
		return result;
	}

	/**
	 * Returns constants of an enum, written in lower case.
	 * @param <E> the enum
	 * @param key the element
	 * @param type the enum
	 * @return the constants
	 */
	public <E extends Enum<E>> Set<E> constants(String key, Class<E> type) {
		Set<E> result = new HashSet<>();
		for (String name : texts(key)) {
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
	 * Reports each element that nobody asked for.
	 */
	public void rejectUnknown() {
		for (Map.Entry<String, Node> entry : this.values.entrySet()) {
			if (!this.known.contains(entry.getKey())) {
				report(entry.getValue(), entry.getKey(), "Unknown setting; remove it or correct its name.");
			}
		}
	}

}
