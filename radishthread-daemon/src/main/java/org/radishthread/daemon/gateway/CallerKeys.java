package org.radishthread.daemon.gateway;

import java.util.List;

import io.micrometer.core.instrument.MeterRegistry;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.ClusterView;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.rules.KeyCheck;
import org.radishthread.rules.KeyDecision;
import org.radishthread.rules.KeyDigest;
import org.radishthread.rules.RouteRule;

/**
 * Checks the keys of callers by the rules in force. Logs and counts refusals; of a key,
 * only the first digits of its digest are logged. Safe for use by several threads.
 */
public final class CallerKeys {

	/**
	 * Time after which a caller may retry if the rules of this instance are too old. It
	 * is short, because other instances may know the newest ones.
	 */
	static final long RETRY_AFTER_MILLIS = 100;

	private static final EventLog eventLog = EventLog.of(CallerKeys.class);

	private static final int LOGGED_DIGEST_LENGTH = 8;

	private final ClusterService cluster;

	private final RoutingService routing;

	private final HttpDialect dialect;

	private final TimeSource time;

	private final MeterRegistry meters;

	public CallerKeys(ClusterService cluster, RoutingService routing, HttpDialect dialect, TimeSource time,
			MeterRegistry meters) {
		this.cluster = cluster;
		this.routing = routing;
		this.dialect = dialect;
		this.time = time;
		this.meters = meters;
	}

	/**
	 * Decides whether a request may be run now.
	 * @param route the route of the request
	 * @param headers the headers of the caller's request
	 * @param requestId the id of the request for the log, or {@code null} for none
	 * @param stage when the request is checked
	 * @return the decision
	 */
	KeyDecision check(RouteRule route, HttpFields headers, @Nullable String requestId, Stage stage) {
		// Read before the rules, so that these are at least as new as the view.
		ClusterView view = this.cluster.view();
		KeyCheck check = this.routing.keyCheck();
		long rulesAgeMillis = view.rulesAgeMillis(check.revision(), this.time.monotonicMillis());
		String keyDigest = check.areKeysRequired() ? keyDigest(headers) : null;
		KeyDecision decision = check.decide(route.open(), keyDigest, rulesAgeMillis);
		if (decision.outcome().isRefusal()) {
			this.meters
				.counter("radishthread.key.refusals", "reason", decision.outcome().wireName(), "stage",
						stage.wireName())
				.increment();
			eventLog.information("key-refused")
				.with("request", (requestId != null) ? requestId : "unnamed")
				.with("reason", decision.outcome().wireName())
				.with("stage", stage.wireName())
				.with("key-digest", (keyDigest != null) ? keyDigest.substring(0, LOGGED_DIGEST_LENGTH) : "none")
				.with("revision", check.revision())
				.with("rules-age-millis", rulesAgeMillis)
				.write();
		}
		return decision;
	}

	private @Nullable String keyDigest(HttpFields headers) {
		List<String> keys = this.dialect.callerKeys(headers);
		return (keys.size() == 1) ? KeyDigest.of(keys.get(0)) : null;
	}

	/**
	 * When a request is checked.
	 */
	enum Stage {

		/**
		 * Before the request is queued or claimed.
		 */
		ARRIVAL("arrival"),

		/**
		 * When an attempt is dispatched to an upstream.
		 */
		DISPATCH("dispatch"),

		/**
		 * When a connection for an attempt is available.
		 */
		SEND("send"),

		/**
		 * Before the recorded response to an equal request is sent.
		 */
		REPLAY("replay");

		private final String wireName;

		Stage(String wireName) {
			this.wireName = wireName;
		}

		String wireName() {
			return this.wireName;
		}

	}

}
