package org.radishthread.routing;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * The measurements of one {@link RoutingExperiment}.
 *
 * @param experiment the parameters of the experiment
 * @param policy the name of the policy
 * @param latencies the latencies of served requests, in microseconds
 * @param servedRequests the number of requests with a successful response
 * @param refusedRequests the number of refused requests
 * @param failedRequests the number of requests that failed
 * @param messages the number of messages that carried load information
 * @param bytes the size of these messages, in bytes
 */
record ExperimentResult(ExperimentCase experiment, String policy, Histogram latencies, long servedRequests,
		long refusedRequests, long failedRequests, long messages, long bytes) {

	static final String TABLE_HEADER = "| case | policy | p50 ms | p99 ms | p99.9 ms | p99 / bound | p99.9 / bound"
			+ " | refused % | failed % | messages per 1,000 | bytes per 1,000 |\n|---|---|---|---|---|---|---|---|---|---|---|";

	double latencyMillis(double percentile) {
		return this.latencies.getValueAtPercentile(percentile) / 1_000.0;
	}

	double latencyRatio(ExperimentResult lowerBound, double percentile) {
		return latencyMillis(percentile) / lowerBound.latencyMillis(percentile);
	}

	String toTableRow(ExperimentResult lowerBound) {
		double requests = Math.max(1, this.servedRequests + this.refusedRequests + this.failedRequests);
		return String.format(Locale.ROOT, "| %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f |",
				this.experiment.name(), this.policy, latencyMillis(50), latencyMillis(99), latencyMillis(99.9),
				latencyRatio(lowerBound, 99), latencyRatio(lowerBound, 99.9), 100 * this.refusedRequests / requests,
				100 * this.failedRequests / requests, 1_000 * this.messages / requests, 1_000 * this.bytes / requests);
	}

}
