package org.radishthread.daemon.administration;

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Renders all meters as text. The meters of the runtime are added with the first request,
 * because their management beans take long to load at the start of an instance.
 */
public final class MetricsPage {

	private final PrometheusMeterRegistry meters;

	private boolean runtimeMetersBound;

	public MetricsPage(PrometheusMeterRegistry meters) {
		this.meters = meters;
	}

	/**
	 * Returns the present values of all meters.
	 * @return the page in the text format of Prometheus
	 */
	public synchronized String text() {
		if (!this.runtimeMetersBound) {
			new JvmMemoryMetrics().bindTo(this.meters);
			new ProcessorMetrics().bindTo(this.meters);
			this.runtimeMetersBound = true;
		}
		return this.meters.scrape();
	}

}
