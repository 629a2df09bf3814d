package org.radishthread.daemon.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.jspecify.annotations.Nullable;

/**
 * Connection pool that can close all of its idle connections.
 */
final class IdleTrackingConnectionPool extends DuplexConnectionPool {

	private final Set<Connection> idleConnections = ConcurrentHashMap.newKeySet();

	IdleTrackingConnectionPool(Destination destination, int maximumConnections) {
		super(destination, maximumConnections);
	}

	@Override
	protected @Nullable Connection activate() {
		Connection connection = super.activate();
		if (connection != null) {
			this.idleConnections.remove(connection);
		}
		return connection;
	}

	@Override
	protected boolean deactivate(Connection connection) {
		this.idleConnections.add(connection);
		boolean retained = super.deactivate(connection);
		if (!retained) {
			this.idleConnections.remove(connection);
		}
		return retained;
	}

	@Override
	protected void onRemoved(Connection connection) {
		this.idleConnections.remove(connection);
		super.onRemoved(connection);
	}

	void closeIdleConnections() {
		for (Connection connection : this.idleConnections) {
			if (this.idleConnections.remove(connection)) {
				connection.close();
			}
		}
	}

}
