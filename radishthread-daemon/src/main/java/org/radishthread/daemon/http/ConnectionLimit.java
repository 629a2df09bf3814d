package org.radishthread.daemon.http;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.io.Connection;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.EventLog;

/**
 * Limits the number of connections to one port. A new connection beyond the limit
 * replaces the one that has been without a request in progress for the longest time, or
 * else the one that has left its response unread for the longest time. Connections whose
 * requests are in progress stay; if there are no others, the new one is closed. Safe for
 * use by several threads.
 */
final class ConnectionLimit implements Connection.Listener {

	// A caller that reads at all has taken something of its response after this time.
	private static final long UNREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final EventLog eventLog = EventLog.of(ConnectionLimit.class);

	private final String server;

	private final int maximumConnections;

	private final Set<BudgetedHttpConnection> connections = ConcurrentHashMap.newKeySet();

	private long closedConnections;

	private long lastLogNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

	/**
	 * Creates a limit.
	 * @param server the name of the server, for the log
	 * @param maximumConnections the maximum number of open connections
	 */
	ConnectionLimit(String server, int maximumConnections) {
		Assert.isTrue(maximumConnections > 0, "Connection limit " + maximumConnections + " must be positive.");
		this.server = server;
		this.maximumConnections = maximumConnections;
	}

	@Override
	public synchronized void onOpened(Connection connection) {
		if (!(connection instanceof BudgetedHttpConnection opened)) {
			return;
		}
		this.connections.add(opened);
		if (this.connections.size() <= this.maximumConnections) {
			return;
		}
		BudgetedHttpConnection replaced = findWithoutRequest(opened).or(this::findUnread).orElse(opened);
		this.connections.remove(replaced);
		replaced.getEndPoint().close();
		log();
	}

	private Optional<BudgetedHttpConnection> findWithoutRequest(BudgetedHttpConnection opened) {
		return this.connections.stream()
			.filter((connection) -> connection != opened && !connection.isInRequest())
			.max(Comparator.comparingLong(BudgetedHttpConnection::nanosWithoutRequest));
	}

	private Optional<BudgetedHttpConnection> findUnread() {
		return this.connections.stream()
			.filter((connection) -> connection.nanosUnread() > UNREAD_NANOS)
			.max(Comparator.comparingLong(BudgetedHttpConnection::nanosUnread));
	}

	// Called while this object is locked.
	private void log() {
		this.closedConnections++;
		long nowNanos = System.nanoTime();
		if (nowNanos - this.lastLogNanos < LOG_INTERVAL_NANOS) {
			return;
		}
		eventLog.warning("connections-limited")
			.with("server", this.server)
			.with("maximum", this.maximumConnections)
			.with("closed", this.closedConnections)
			.write();
		this.lastLogNanos = nowNanos;
		this.closedConnections = 0;
	}

	@Override
	public void onClosed(Connection connection) {
		if (connection instanceof BudgetedHttpConnection closed) {
			this.connections.remove(closed);
		}
	}

}
