package org.radishthread.proof.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Shared flow of stand-ins that handle connections byte by byte.
 */
public abstract class AbstractStandInServer {

	private final ServerSocket server;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "stand-in-server");
		thread.setDaemon(true);
		return thread;
	});

	protected AbstractStandInServer() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
	}

	/**
	 * Takes a connection; further work goes to {@link #execute}.
	 * @param socket the connection
	 * @throws IOException if the stand-in can not go on
	 */
	protected abstract void accepted(Socket socket) throws IOException;

	protected final void execute(Runnable task) {
		this.threads.execute(task);
	}

	protected final void startServing() {
		execute(this::acceptAll);
	}

	private void acceptAll() {
		try {
			while (!this.server.isClosed()) {
				accepted(this.server.accept());
			}
		}
		catch (IOException ex) {
			// The stand-in was stopped.
		}
	}

	public final String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	public final void stop() throws IOException {
		this.server.close();
		this.threads.shutdownNow();
	}

}
