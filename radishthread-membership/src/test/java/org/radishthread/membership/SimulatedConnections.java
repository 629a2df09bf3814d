package org.radishthread.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The connections between simulated instances, one for each direction, as the daemon
 * keeps them: opened by the first message, closed when unused, and closed when no
 * response to a ping arrives. A device on the path may drop the state of an open
 * connection, which then loses all messages without notice; new connections work.
 */
final class SimulatedConnections {

	// The time from the first message on a silent connection until its sender closes it
	// for lack of a response to a ping.
	private static final long SILENCE_DETECTION_MILLIS = 1_750;

	// The time after which an unused connection is closed.
	private static final long IDLE_TIMEOUT_MILLIS = 5_000;

	private static final long NEVER = Long.MAX_VALUE;

	private final Map<Path, Connection> connections = new HashMap<>();

	// Returns whether a message arrives that is sent now.
	boolean send(String from, String to, long nowMillis) {
		Path path = new Path(from, to);
		Connection connection = this.connections.get(path);
		if (connection == null || !connection.isOpen(nowMillis)) {
			connection = new Connection();
			this.connections.put(path, connection);
		}
		connection.usedMillis = nowMillis;
		if (connection.silent) {
			connection.firstLostMillis = Math.min(connection.firstLostMillis, nowMillis);
		}
		return !connection.silent;
	}

	// Makes the open connections that match lose all messages. The arguments of the
	// filter are the names of the sender and of the recipient. The silence of one that is
	// silent already is detected later, as if the connection had been replaced meanwhile.
	void silence(BiPredicate<String, String> filter, long nowMillis) {
		this.connections.forEach((path, connection) -> {
			if (connection.isOpen(nowMillis) && filter.test(path.from, path.to)) {
				connection.silent = true;
				connection.firstLostMillis = NEVER;
			}
		});
	}

	void close(String from, String to) {
		this.connections.remove(new Path(from, to));
	}

	private record Path(String from, String to) {
	}

	private static final class Connection {

		private long usedMillis;

		private boolean silent;

		private long firstLostMillis = NEVER;

		private boolean isOpen(long nowMillis) {
			boolean silenceDetected = this.firstLostMillis != NEVER
					&& nowMillis - this.firstLostMillis >= SILENCE_DETECTION_MILLIS;
			return !silenceDetected && nowMillis - this.usedMillis <= IDLE_TIMEOUT_MILLIS;
		}

	}

}
