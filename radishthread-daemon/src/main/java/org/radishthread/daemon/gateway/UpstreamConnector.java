package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.kernel.NetworkAddress;

/**
 * Opens connections to upstreams that distinguish a reset from a regular close, and
 * reports which could be opened. The end points of Jetty report both as the end of the
 * stream, so that a response without a length would appear to be complete after a reset.
 */
final class UpstreamConnector extends ClientConnector {

	UpstreamConnector(UpstreamConnectionListener listener) {
		addEventListener(new ConnectListenerAdapter(listener));
	}

	@Override
	protected SslContextFactory.Client newSslContextFactory() {
		return new UnusedSslContextFactory();
	}

	@Override
	protected EndPoint newEndPoint(SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
		return new ResetDetectingEndPoint((SocketChannel) selectable, selector, key, getScheduler());
	}

	/**
	 * Loads no trust store on start, because connections to upstreams do not use TLS.
	 */
	private static final class UnusedSslContextFactory extends SslContextFactory.Client {

		@Override
		protected void doStart() {
			// The superclass would parse all trusted certificates of the runtime.
		}

	}

	/**
	 * Passes the events of the connector on with the address of the upstream.
	 */
	private static final class ConnectListenerAdapter implements ConnectListener {

		private final UpstreamConnectionListener listener;

		private ConnectListenerAdapter(UpstreamConnectionListener listener) {
			this.listener = listener;
		}

		@Override
		public void onConnectSuccess(SocketChannel channel) {
			if (channel.socket().getRemoteSocketAddress() instanceof InetSocketAddress address) {
				complete(address, true);
			}
		}

		@Override
		public void onConnectFailure(SocketChannel channel, SocketAddress remoteAddress, Throwable cause) {
			if (remoteAddress instanceof InetSocketAddress address) {
				complete(address, false);
			}
		}

		private void complete(InetSocketAddress address, boolean opened) {
			String text = new NetworkAddress(address.getHostString(), address.getPort()).toString();
			this.listener.connectionCompleted(text, opened);
		}

	}

	/**
	 * Throws the exception of a reset on read instead of reporting the end of the stream.
	 */
	private static final class ResetDetectingEndPoint extends SocketChannelEndPoint {

		private ResetDetectingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key,
				Scheduler scheduler) {
			super(channel, selector, key, scheduler);
		}

		@Override
		public int fill(ByteBuffer buffer) throws IOException {
			if (isInputShutdown()) {
				return -1;
			}
			int position = BufferUtil.flipToFill(buffer);
			try {
				int bytesRead = getChannel().read(buffer);
				if (bytesRead > 0) {
					notIdle();
				}
				else if (bytesRead < 0) {
					shutdownInput();
				}
				return bytesRead;
			}
			finally {
				BufferUtil.flipToFlush(buffer, position);
			}
		}

	}

}
