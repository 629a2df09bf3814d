package org.radishthread.daemon.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The requests that this instance handles. When the instance stops, each of them must end
 * before the process does, and later ones get no more time than is left. Points in time
 * are monotonic, in nanoseconds. Safe for use by several threads.
 */
final class OpenExchanges {

	private final Set<AbstractExchange> exchanges = ConcurrentHashMap.newKeySet();

	private volatile long stopNanos;

	private volatile boolean stopping;

	/**
	 * Adds a request, which is ended with the others when the instance stops.
	 * @param exchange the request
	 */
	void add(AbstractExchange exchange) {
		this.exchanges.add(exchange);
		if (this.stopping) {
			exchange.endAt(this.stopNanos);
		}
	}

	void remove(AbstractExchange exchange) {
		this.exchanges.remove(exchange);
	}

	/**
	 * Sets when the requests must end.
	 * @param nanos the time
	 */
	void stopAt(long nanos) {
		this.stopNanos = nanos;
		this.stopping = true;
		this.exchanges.forEach((exchange) -> exchange.endAt(nanos));
	}

	/**
	 * Returns the time until which a request can be handled.
	 * @param deadlineNanos the deadline of the request
	 * @return the deadline, or an earlier time if the instance stops before it
	 */
	long limit(long deadlineNanos) {
		return (this.stopping && this.stopNanos - deadlineNanos < 0) ? this.stopNanos : deadlineNanos;
	}

}
