package org.radishthread.daemon.http;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/**
 * Creates the HTTP/1.1 connections of one server and keeps the heads of all requests in
 * progress within a part of the heap.
 */
public final class BudgetedHttpConnectionFactory extends HttpConnectionFactory {

	// Shared by the heads of all requests of one server.
	private static final int HEADS_HEAP_DIVISOR = 16;

	private final BufferBudget headBudget;

	/**
	 * Creates a factory.
	 * @param configuration the configuration of the connections
	 */
	public BudgetedHttpConnectionFactory(HttpConfiguration configuration) {
		this(configuration, new BufferBudget(Runtime.getRuntime().maxMemory() / HEADS_HEAP_DIVISOR));
	}

	BudgetedHttpConnectionFactory(HttpConfiguration configuration, BufferBudget headBudget) {
		super(configuration);
		this.headBudget = headBudget;
	}

	@Override
	public Connection newConnection(Connector connector, EndPoint endPoint) {
		BudgetedHttpConnection connection = new BudgetedHttpConnection(getHttpConfiguration(), connector, endPoint,
				this.headBudget);
		connection.setTransferEncodingChunkMaxLength(getTransferEncodingChunkMaxLength());
		return configure(connection, connector, endPoint);
	}

}
