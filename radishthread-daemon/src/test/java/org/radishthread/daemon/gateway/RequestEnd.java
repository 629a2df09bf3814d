package org.radishthread.daemon.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RoutingEffect;

/**
 * What ends a request.
 */
enum RequestEnd {

	REFUSAL(ExchangeTestSupport.TIMEOUT) {

		@Override
		void end(RoutingCallback callback, ExchangeServer server) {
			callback.onRefusal(new RoutingEffect.Refusal(1, RefusalReason.NO_UPSTREAM, 1_000));
		}

	},

	DEADLINE(ExchangeTestSupport.SHORT_TIMEOUT) {

		@Override
		void end(RoutingCallback callback, ExchangeServer server) {
			// Passes by itself.
		}

		@Override
		void awaitEffect(CompletableFuture<?> response) {
			awaitEffect(response, ExchangeTestSupport.SHORT_TIMEOUT.toMillis() + ExchangeTestSupport.QUIET_MILLIS);
		}

	},

	STOP(ExchangeTestSupport.TIMEOUT) {

		@Override
		void end(RoutingCallback callback, ExchangeServer server) {
			server.stopInstance();
		}

	};

	private static final long CHECK_INTERVAL_MILLIS = 10;

	private final Duration timeout;

	RequestEnd(Duration timeout) {
		this.timeout = timeout;
	}

	// The timeout of a request that is to end so.
	Duration timeout() {
		return this.timeout;
	}

	abstract void end(RoutingCallback callback, ExchangeServer server);

	// Waits until the caller has its response, or would have it if this were its end.
	void awaitEffect(CompletableFuture<?> response) {
		awaitEffect(response, ExchangeTestSupport.QUIET_MILLIS);
	}

	void awaitEffect(CompletableFuture<?> response, long millis) {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!response.isDone() && System.nanoTime() - endNanos < 0) {
			ExchangeTestSupport.sleep(CHECK_INTERVAL_MILLIS);
		}
	}

}
