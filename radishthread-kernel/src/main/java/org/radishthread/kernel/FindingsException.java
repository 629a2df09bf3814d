package org.radishthread.kernel;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when an input is invalid, with all {@link Finding findings} in it. The message
 * has one line for each.
 */
public class FindingsException extends RadishthreadException {

	private final transient List<Finding> findings;

	public FindingsException(List<Finding> findings) {
		super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
		this.findings = List.copyOf(findings);
	}

	public List<Finding> getFindings() {
		return this.findings;
	}

}
