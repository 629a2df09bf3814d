package org.radishthread.rules;

import org.radishthread.kernel.Assert;

/**
 * Rule for probes that read the pace of each upstream of a service. The pace is the
 * current service time of an upstream relative to its usual one.
 *
 * @param path the path that a probe requests
 * @param maximumProbesPerSecond the maximum number of probes per second to one upstream
 */
public record PaceProbeRule(String path, int maximumProbesPerSecond) {

	public PaceProbeRule {
		Assert.isTrue(path.startsWith("/"), "Path '" + path + "' must start with a slash.");
		Assert.isTrue(maximumProbesPerSecond > 0, "Probe rate " + maximumProbesPerSecond + " must be positive.");
	}

}
