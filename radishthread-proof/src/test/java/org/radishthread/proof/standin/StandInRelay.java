package org.radishthread.proof.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay between gateways and one upstream that can stop forwarding on its open
 * connections. These stay open but carry no data while new connections work, as when a
 * firewall loses its connection table.
 */
public final class StandInRelay extends AbstractStandInServer {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final int upstreamPort;

	private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

	public StandInRelay(int upstreamPort) throws IOException {
		this.upstreamPort = upstreamPort;
	}

	public StandInRelay start() {
		startServing();
		return this;
	}

	/**
	 * Stops forwarding on all connections that are open now, without closing them.
	 */
	public void silenceOpenConnections() {
		this.connections.forEach((connection) -> connection.forwardingStopped = true);
	}

	@Override
	protected void handleConnection(Socket gatewaySocket) throws IOException {
		Socket upstreamSocket = new Socket("127.0.0.1", this.upstreamPort);
		RelayedConnection connection = new RelayedConnection();
		this.connections.add(connection);
		execute(() -> forward(connection, gatewaySocket, upstreamSocket));
		execute(() -> forward(connection, upstreamSocket, gatewaySocket));
	}

	private void forward(RelayedConnection connection, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream input = from.getInputStream(); OutputStream output = to.getOutputStream()) {
			int count = input.read(buffer);
			while (count >= 0) {
				if (!connection.forwardingStopped) {
					output.write(buffer, 0, count);
					output.flush();
				}
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// The gateway or the upstream closed the connection.
		}
		finally {
			if (!connection.forwardingStopped) {
				this.connections.remove(connection);
			}
		}
	}

	private static final class RelayedConnection {

		private volatile boolean forwardingStopped;

	}

}
