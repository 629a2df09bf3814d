package org.radishthread.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Backoff;
import org.radishthread.kernel.EventLog;

/**
 * A change that is passed on to all listeners, and again to those that fail, until each
 * has accepted it. A later change takes the place of one that is still pending. Not
 * thread-safe; times are monotonic, in milliseconds.
 *
 * @param <T> the type of the changed value
 */
final class PendingChange<T> {

	private static final EventLog eventLog = EventLog.of(PendingChange.class);

	private static final long MINIMUM_RETRY_INTERVAL_MILLIS = 100;

	private static final long MAXIMUM_RETRY_INTERVAL_MILLIS = 2_000;

	private final String name;

	private final BiConsumer<ClusterListener, T> notification;

	private final Backoff retryInterval = new Backoff(MINIMUM_RETRY_INTERVAL_MILLIS, MAXIMUM_RETRY_INTERVAL_MILLIS);

	private final List<ClusterListener> pendingListeners = new ArrayList<>();

	// Null unless a listener has yet to accept it.
	private @Nullable T value;

	private long nextMillis;

	/**
	 * Creates a change without a value.
	 * @param name what changes, as it is logged
	 * @param notification passes the value on to a listener
	 */
	PendingChange(String name, BiConsumer<ClusterListener, T> notification) {
		this.name = name;
		this.notification = notification;
	}

	void offer(T changedValue, List<ClusterListener> listeners) {
		this.value = changedValue;
		this.pendingListeners.clear();
		this.pendingListeners.addAll(listeners);
		this.retryInterval.reset();
		this.nextMillis = Long.MIN_VALUE;
	}

	/**
	 * Passes the value on to the listeners that have not accepted it, unless they failed
	 * just before.
	 * @param nowMillis the time
	 * @return the value if all listeners have accepted it now, or {@code null}
	 */
	@Nullable T deliver(long nowMillis) {
		T offeredValue = this.value;
		if (offeredValue == null || nowMillis < this.nextMillis) {
			return null;
		}
		this.pendingListeners.removeIf((listener) -> isAccepted(listener, offeredValue));
		if (!this.pendingListeners.isEmpty()) {
			this.nextMillis = nowMillis + this.retryInterval.nextMillis();
			return null;
		}
		this.value = null;
		return offeredValue;
	}

	private boolean isAccepted(ClusterListener listener, T offeredValue) {
		try {
			this.notification.accept(listener, offeredValue);
			return true;
		}
		catch (RuntimeException ex) {
			eventLog.failure("listener-failed", ex)
				.with("listener", listener.getClass().getSimpleName())
				.with("change", this.name)
				.with("next", "the former value stays in use, and the change is passed on again")
				.write();
			return false;
		}
	}

}
