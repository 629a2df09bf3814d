package org.radishthread.proof.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Base class of stand-ins that accept TCP connections on a loopback port and handle their
 * bytes directly.
 */
public abstract class AbstractStandInServer {

	private final ServerSocket serverSocket;

	private final ExecutorService executor = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "stand-in-server");
		thread.setDaemon(true);
		return thread;
	});

	protected AbstractStandInServer() throws IOException {
		this.serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
	}

	/**
	 * Handles an accepted connection. This method runs on the accepting thread, so that
	 * blocking work has to be passed to {@link #execute}.
	 * @param socket the connection
	 * @throws IOException if the stand-in cannot continue; it then accepts no further
	 * connections
	 */
	protected abstract void handleConnection(Socket socket) throws IOException;

	protected final void execute(Runnable task) {
		this.executor.execute(task);
	}

	protected final void startServing() {
		execute(this::acceptConnections);
	}

	private void acceptConnections() {
		try {
			while (!this.serverSocket.isClosed()) {
				handleConnection(this.serverSocket.accept());
			}
		}
		catch (IOException ex) {
			// stop() closed the server socket, or a connection could not be handled.
		}
	}

	public final String address() {
		return "127.0.0.1:" + this.serverSocket.getLocalPort();
	}

	public final void stop() throws IOException {
		this.serverSocket.close();
		this.executor.shutdownNow();
	}

}
