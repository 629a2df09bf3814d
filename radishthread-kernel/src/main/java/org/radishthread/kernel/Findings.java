package org.radishthread.kernel;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the {@link Finding findings} in one input, so that they are reported together.
 */
public final class Findings {

	private final String source;

	private final List<Finding> entries = new ArrayList<>();

	public Findings(String source) {
		this.source = source;
	}

	/**
	 * Adds a finding.
	 * @param line the line, counted from 1
	 * @param column the column, counted from 1
	 * @param path the path of the element, or an empty string
	 * @param message what is wrong and how to correct it
	 */
	public void add(int line, int column, String path, String message) {
		this.entries.add(new Finding(this.source, line, column, path, message));
	}

	/**
	 * Returns the findings in the order in which they were added.
	 * @return an immutable copy
	 */
	public List<Finding> toList() {
		return List.copyOf(this.entries);
	}

	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Throws an exception if there are findings.
	 * @throws FindingsException if there are findings, with all of them
	 */
	public void throwIfAny() {
		if (!this.entries.isEmpty()) {
			throw new FindingsException(this.entries);
		}
	}

}
