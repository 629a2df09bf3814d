package org.radishthread.kernel;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the {@link Finding findings} of one input, so that all are reported together.
 */
public final class Findings {

	private final String source;

	private final List<Finding> entries = new ArrayList<>();

	public Findings(String source) {
		this.source = source;
	}

	/**
	 * Adds a finding at a place of the input.
	 * @param line the line, counted from 1
	 * @param column the column, counted from 1
	 * @param path the element concerned, or an empty text
	 * @param message what is wrong and what to do
	 */
	public void add(int line, int column, String path, String message) {
		this.entries.add(new Finding(this.source, line, column, path, message));
	}

	/**
	 * Returns the findings in the order in which they were added.
	 * @return an unmodifiable copy
	 */
	public List<Finding> toList() {
		return List.copyOf(this.entries);
	}

	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Fails if anything was found.
	 * @throws FindingsException with all findings
	 */
	public void throwIfAny() {
		if (!this.entries.isEmpty()) {
			throw new FindingsException(this.entries);
		}
	}

}
