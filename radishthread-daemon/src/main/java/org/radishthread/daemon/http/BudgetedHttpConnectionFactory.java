package org.radishthread.daemon.http;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/**
 * Creates the HTTP/1.1 connections of one server and keeps what their callers send within
 * the memory of this process: the heads of all requests in progress, and the number of
 * open connections, are limited in proportion to the maximum size of the heap.
 */
public final class BudgetedHttpConnectionFactory extends HttpConnectionFactory {

	// The objects and the buffers of an open connection, and a head within
	// HeadAccount.UNRESERVED_BYTES.
	private static final int BYTES_PER_CONNECTION = 16 * 1_024;

	// Each character that a connection may keep of former requests takes about 100 bytes
	// from its first request on.
	private static final int HEADER_CACHE_CHARACTERS = 0;

	private final BufferBudget headBudget;

	/**
	 * Creates a factory.
	 * @param server the name of the server, for the log
	 * @param configuration the configuration of the connections
	 */
	public BudgetedHttpConnectionFactory(String server, HttpConfiguration configuration) {
		this(server, configuration, new BufferBudget(HeapShare.HEADS.bytes()),
				(int) Math.max(1, HeapShare.CONNECTIONS.bytes() / BYTES_PER_CONNECTION));
	}

	BudgetedHttpConnectionFactory(String server, HttpConfiguration configuration, BufferBudget headBudget,
			int maximumConnections) {
		super(configuration);
		configuration.setHeaderCacheSize(HEADER_CACHE_CHARACTERS);
		this.headBudget = headBudget;
		addEventListener(new ConnectionLimit(server, maximumConnections));
	}

	@Override
	public Connection newConnection(Connector connector, EndPoint endPoint) {
		BudgetedHttpConnection connection = new BudgetedHttpConnection(getHttpConfiguration(), connector, endPoint,
				this.headBudget);
		connection.setTransferEncodingChunkMaxLength(getTransferEncodingChunkMaxLength());
		return configure(connection, connector, endPoint);
	}

}
