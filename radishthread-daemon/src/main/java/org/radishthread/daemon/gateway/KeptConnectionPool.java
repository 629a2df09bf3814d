package org.radishthread.daemon.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * Knows its idle connections, so that they can be closed together.
 */
final class KeptConnectionPool extends DuplexConnectionPool {

	private final Set<Connection> idle = ConcurrentHashMap.newKeySet();

	KeptConnectionPool(Destination destination, int maximumConnections) {
		super(destination, maximumConnections);
	}

	@Override
	protected @Nullable Connection activate() {
		Connection connection = super.activate();
		if (connection != null) {
			this.idle.remove(connection);
		}
		return connection;
	}

	@Override
	protected boolean deactivate(Connection connection) {
		this.idle.add(connection);
		boolean kept = super.deactivate(connection);
		if (!kept) {
			this.idle.remove(connection);
		}
		return kept;
	}

	@Override
	protected void onRemoved(Connection connection) {
		this.idle.remove(connection);
		super.onRemoved(connection);
	}

	void closeIdle() {
		for (Connection connection : this.idle) {
			if (this.idle.remove(connection)) {
				connection.close();
			}
		}
	}

}
