package org.radishthread.proof.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Passes bytes between a gateway and an upstream, and can lose track of the connections
 * that are open: they stay open and silent while new ones work.
 */
public final class StandInRelay {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final ServerSocket server;

	private final int targetPort;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		return thread;
	});

	public StandInRelay(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
	}

	public StandInRelay start() {
		this.threads.execute(this::acceptAll);
		return this;
	}

	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	public int openConnections() {
		return this.links.size();
	}

	/**
	 * Loses track of all connections that are open now.
	 */
	public void loseTrack() {
		this.links.forEach((link) -> link.silent = true);
	}

	public void stop() throws IOException {
		this.server.close();
		this.threads.shutdownNow();
	}

	private void acceptAll() {
		try {
			while (!this.server.isClosed()) {
				Socket caller = this.server.accept();
				Socket target = new Socket("127.0.0.1", this.targetPort);
				Link link = new Link();
				this.links.add(link);
				this.threads.execute(() -> pass(link, caller, target));
				this.threads.execute(() -> pass(link, target, caller));
			}
		}
		catch (IOException ex) {
			// The relay was stopped.
		}
	}

	private void pass(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream input = from.getInputStream(); OutputStream output = to.getOutputStream()) {
			int count = input.read(buffer);
			while (count >= 0) {
				if (!link.silent) {
					output.write(buffer, 0, count);
					output.flush();
				}
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// One of the two ends went away.
		}
		finally {
			if (!link.silent) {
				this.links.remove(link);
			}
		}
	}

	private static final class Link {

		private volatile boolean silent;

	}

}
