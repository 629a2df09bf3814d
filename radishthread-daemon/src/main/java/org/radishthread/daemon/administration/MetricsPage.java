package org.radishthread.daemon.administration;

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Renders the metrics of this instance. The metrics of the runtime are registered on the
 * first request, because loading their management beans would delay the start.
 */
public final class MetricsPage {

	private final PrometheusMeterRegistry meters;

	private boolean runtimeMetersBound;

	public MetricsPage(PrometheusMeterRegistry meters) {
		this.meters = meters;
	}

	/**
	 * Renders the current values of all metrics.
	 * @return the metrics in the text format of Prometheus
	 */
	public synchronized String render() {
		if (!this.runtimeMetersBound) {
			new JvmMemoryMetrics().bindTo(this.meters);
			new ProcessorMetrics().bindTo(this.meters);
			this.runtimeMetersBound = true;
		}
		return this.meters.scrape();
	}

}
