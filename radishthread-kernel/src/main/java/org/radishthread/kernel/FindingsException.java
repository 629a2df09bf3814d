package org.radishthread.kernel;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports all {@link Finding findings} of one input together.
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
