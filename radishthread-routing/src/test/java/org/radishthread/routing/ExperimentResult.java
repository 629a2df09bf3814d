package org.radishthread.routing;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * What one experiment showed.
 *
 * @param experiment the case
 * @param policy the way of choosing
 * @param latencies the latencies of served calls, in microseconds
 * @param served the calls with an answer
 * @param refused the calls refused at once
 * @param failed the calls without an answer
 * @param messages the measuring messages
 * @param bytes the bytes of the measuring messages
 */
record ExperimentResult(ExperimentCase experiment, String policy, Histogram latencies, long served, long refused,
		long failed, long messages, long bytes) {

	static final String HEADER = "| case | policy | p50 ms | p99 ms | p99.9 ms | p99 / bound | p99.9 / bound"
			+ " | refused % | failed % | messages per 1,000 | bytes per 1,000 |\n|---|---|---|---|---|---|---|---|---|---|---|";

	double millis(double percentile) {
		return this.latencies.getValueAtPercentile(percentile) / 1_000.0;
	}

	double ratio(ExperimentResult bound, double percentile) {
		return millis(percentile) / bound.millis(percentile);
	}

	String row(ExperimentResult bound) {
		double calls = Math.max(1, this.served + this.refused + this.failed);
		return String.format(Locale.ROOT, "| %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f |",
				this.experiment.name(), this.policy, millis(50), millis(99), millis(99.9), ratio(bound, 99),
				ratio(bound, 99.9), 100 * this.refused / calls, 100 * this.failed / calls,
				1_000 * this.messages / calls, 1_000 * this.bytes / calls);
	}

}
