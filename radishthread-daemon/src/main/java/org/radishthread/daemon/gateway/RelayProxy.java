package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.ProxyConfiguration;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.kernel.NetworkAddress;

/**
 * Opens connections to upstreams through another instance, which relays their bytes. It
 * is used for requests that are tagged with the peer address of that instance. A
 * connection that the other instance cannot open fails before a request is sent on it.
 */
final class RelayProxy extends ProxyConfiguration.Proxy {

	// Longer than the time in which the other instance gives up connecting.
	private static final long HANDSHAKE_TIMEOUT_MILLIS = 500;

	private final String relay;

	private final RelayHandshake handshake;

	/**
	 * Creates a proxy.
	 * @param relay the peer address of the other instance
	 * @param handshake the messages that are exchanged with it
	 */
	RelayProxy(String relay, RelayHandshake handshake) {
		super(new Origin.Address(NetworkAddress.parse(relay).host(), NetworkAddress.parse(relay).port()), false, null,
				null);
		this.relay = relay;
		this.handshake = handshake;
	}

	@Override
	public boolean matches(Origin origin) {
		return this.relay.equals(origin.getTag());
	}

	@Override
	public ClientConnectionFactory newClientConnectionFactory(ClientConnectionFactory connectionFactory) {
		return (endPoint, context) -> {
			Destination destination = (Destination) context.get(Destination.CONTEXT_KEY);
			return new HandshakeConnection(endPoint, destination, connectionFactory, context);
		};
	}

	/**
	 * Exchanges the handshake, then hands the end point to the HTTP connection.
	 */
	private final class HandshakeConnection extends AbstractConnection implements Callback {

		private final Destination destination;

		private final ClientConnectionFactory connectionFactory;

		private final Map<String, Object> context;

		private final ByteBuffer response = ByteBuffer.allocate(RelayHandshake.RESPONSE_BYTES);

		private HandshakeConnection(EndPoint endPoint, Destination destination,
				ClientConnectionFactory connectionFactory, Map<String, Object> context) {
			super(endPoint, executor(destination));
			this.destination = destination;
			this.connectionFactory = connectionFactory;
			this.context = context;
		}

		private static Executor executor(Destination destination) {
			return destination.getHttpClient().getExecutor();
		}

		@Override
		public void onOpen() {
			super.onOpen();
			getEndPoint().setIdleTimeout(HANDSHAKE_TIMEOUT_MILLIS);
			Origin.Address address = this.destination.getOrigin().getAddress();
			getEndPoint().write(this,
					RelayProxy.this.handshake.request(new NetworkAddress(address.getHost(), address.getPort())));
		}

		@Override
		public void succeeded() {
			fillInterested();
		}

		@Override
		public void failed(Throwable cause) {
			close();
			@SuppressWarnings("unchecked")
			Promise<Connection> promise = (Promise<Connection>) this.context.get(Connection.PROMISE_CONTEXT_KEY);
			promise.failed(cause);
		}

		@Override
		public boolean onIdleExpired(TimeoutException timeout) {
			failed(timeout);
			return false;
		}

		@Override
		public void onFillInterestedFailed(Throwable cause) {
			failed(cause);
		}

		@Override
		public void onFillable() {
			try {
				if (!fillResponse()) {
					fillInterested();
					return;
				}
				this.response.flip();
				if (!RelayHandshake.isConnected(this.response)) {
					failed(new IOException("Instance " + RelayProxy.this.relay + " cannot reach the upstream."));
					return;
				}
				getEndPoint().setIdleTimeout(this.destination.getHttpClient().getIdleTimeout());
				getEndPoint().upgrade(this.connectionFactory.newConnection(getEndPoint(), this.context));
			}
			catch (IOException ex) {
				failed(ex);
			}
		}

		// Returns whether the response is complete. No byte of the upstream is read,
		// because it sends none before a request.
		private boolean fillResponse() throws IOException {
			ByteBuffer buffer = BufferUtil.allocate(this.response.remaining());
			int count = getEndPoint().fill(buffer);
			if (count < 0) {
				throw new IOException("Instance " + RelayProxy.this.relay + " closed the connection.");
			}
			this.response.put(buffer);
			return !this.response.hasRemaining();
		}

	}

}
