package org.radishthread.rules;

import java.util.Map;

/**
 * Parser for successive revisions of a rule file. A line whose text was in the last valid
 * file is not parsed again, wherever it stands now, so that the time for a revision is
 * mostly that for the changed lines. The result is the same as that of
 * {@link RuleParser}. Not thread-safe.
 */
public final class IncrementalRuleParser {

	private Map<String, LineRule> rulesByText = Map.of();

	private int parsedLineCount;

	/**
	 * Parses a rule file.
	 * @param source the name of the file, as shown in findings
	 * @param text the content of the file
	 * @return the rules
	 * @throws org.radishthread.kernel.FindingsException with all findings, if the file is
	 * invalid
	 */
	public RuleSet parse(String source, String text) {
		RuleParser parser = new RuleParser(source, text, this.rulesByText);
		RuleSet rules = parser.parse();
		this.rulesByText = parser.rulesByText();
		this.parsedLineCount = parser.parsedLineCount();
		return rules;
	}

	/**
	 * Returns the number of lines of the last valid file that were not in the one before.
	 * @return the number of lines, without empty ones
	 */
	public int parsedLineCount() {
		return this.parsedLineCount;
	}

}
