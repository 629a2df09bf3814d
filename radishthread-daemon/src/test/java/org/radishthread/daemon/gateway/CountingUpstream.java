package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.Upstream;

/**
 * An upstream on loopback that counts the requests that reach it, and answers one only
 * when it is told to.
 */
final class CountingUpstream implements AutoCloseable {

	private static final long WAIT_SECONDS = 10;

	private final String name;

	private final ServerSocket server;

	private final AtomicInteger requests = new AtomicInteger();

	private final BlockingQueue<Socket> waiting = new LinkedBlockingQueue<>();

	CountingUpstream(String name) throws IOException {
		this.name = name;
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::acceptAll, "upstream-" + name);
		thread.setDaemon(true);
		thread.start();
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				if (readHead(socket.getInputStream())) {
					this.requests.incrementAndGet();
					this.waiting.add(socket);
				}
			}
			catch (IOException ex) {
				// A connection that ends early carries no request.
			}
		}
	}

	private static boolean readHead(InputStream input) throws IOException {
		int lineLength = 0;
		for (int character = input.read(); character >= 0; character = input.read()) {
			if (character == '\n' && lineLength == 0) {
				return true;
			}
			lineLength = (character == '\n') ? 0 : lineLength + ((character == '\r') ? 0 : 1);
		}
		return false;
	}

	String name() {
		return this.name;
	}

	int requestCount() {
		return this.requests.get();
	}

	RoutingEffect.Dispatch dispatch(AttemptKind kind) {
		Upstream upstream = new Upstream(this.name, "127.0.0.1:" + this.server.getLocalPort(), "bastrop", 4, 1, true);
		return new RoutingEffect.Dispatch(1, upstream, kind, 1, 100, 0, 0, false, null);
	}

	/**
	 * Waits for a request, whose connection the caller of this method then answers.
	 * @return the connection
	 * @throws InterruptedException if the thread is interrupted
	 */
	Socket awaitRequest() throws InterruptedException {
		Socket socket = this.waiting.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		if (socket == null) {
			throw new IllegalStateException("No request has arrived at upstream " + this.name + ".");
		}
		return socket;
	}

	/**
	 * Waits until a request arrives or a time has passed.
	 * @param millis the time, in milliseconds
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitRequestFor(long millis) throws InterruptedException {
		Socket socket = this.waiting.poll(millis, TimeUnit.MILLISECONDS);
		if (socket != null) {
			this.waiting.add(socket);
		}
	}

	/**
	 * Writes to the next request and closes its connection.
	 * @param text a response, whole or cut
	 * @throws Exception if no request arrives, or the connection is lost
	 */
	void answer(String text) throws Exception {
		try (Socket socket = awaitRequest()) {
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.waiting) {
			socket.close();
		}
	}

}
