package org.radishthread.daemon.gateway;

import java.io.IOException;
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

/**
 * Opens connections to upstreams that tell a reset from an orderly end. The usual end
 * points report both as the end of the stream, so that an answer without a length would
 * look whole after a reset.
 */
final class UpstreamConnector extends ClientConnector {

	@Override
	protected SslContextFactory.Client newSslContextFactory() {
		return new UnusedSslContextFactory();
	}

	@Override
	protected EndPoint newEndPoint(SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
		return new ResettableEndPoint((SocketChannel) selectable, selector, key, getScheduler());
	}

	/**
	 * Loads no trust store on start, because upstreams are reached without TLS.
	 */
	private static final class UnusedSslContextFactory extends SslContextFactory.Client {

		@Override
		protected void doStart() {
			// A start would read and parse all trusted certificates of the runtime.
		}

	}

	private static final class ResettableEndPoint extends SocketChannelEndPoint {

		private ResettableEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key,
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
				int read = getChannel().read(buffer);
				if (read > 0) {
					notIdle();
				}
				else if (read < 0) {
					shutdownInput();
				}
				return read;
			}
			finally {
				BufferUtil.flipToFlush(buffer, position);
			}
		}

	}

}
