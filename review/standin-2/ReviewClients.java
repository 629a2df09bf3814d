package org.radishthread.platform.faults;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send requests to each gateway at intervals, each on a new connection, and
 * record what they sent when and what was answered.
 */
final class ReviewClients {

	static final String HOST = "callers.example";

	private static final int TIMEOUT_MILLIS = 2_000;

	private final RunLog log;

	private final AtomicInteger lastRequest = new AtomicInteger();

	private final Map<String, Sent> sent = new ConcurrentHashMap<>();

	private final Queue<Thread> threads = new ConcurrentLinkedQueue<>();

	private volatile boolean stopped;

	ReviewClients(RunLog log) {
		this.log = log;
	}

	void start(Instance gateway, InetSocketAddress address, String path, int intervalMillis) {
		Thread thread = new Thread(() -> {
			try {
				while (!this.stopped) {
					send(gateway.name(), address, path);
					Thread.sleep(intervalMillis);
				}
			}
			catch (InterruptedException ex) {
				// The run ends.
			}
		}, "client-" + gateway);
		thread.setDaemon(true);
		thread.start();
		this.threads.add(thread);
	}

	/**
	 * Sends one request.
	 * @return the status, or zero without a response
	 */
	int send(String gateway, InetSocketAddress address, String path) {
		String requestId = "q" + this.lastRequest.incrementAndGet();
		long sentMillis = this.log.nowMillis();
		int status = request(address, path, requestId);
		this.sent.put(requestId, new Sent(requestId, gateway, sentMillis, this.log.nowMillis(), status));
		return status;
	}

	private static int request(InetSocketAddress address, String path, String requestId) {
		try (Socket socket = new Socket()) {
			socket.connect(address, 1_000);
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream()
				.write(("GET " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId
						+ "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			InputStream input = new BufferedInputStream(socket.getInputStream());
			StringBuilder line = new StringBuilder();
			for (int character = input.read(); character != '\n' && character >= 0; character = input.read()) {
				line.append((char) character);
			}
			return (line.length() > 12) ? Integer.parseInt(line.substring(9, 12)) : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	Map<String, Sent> stop() throws InterruptedException {
		this.stopped = true;
		for (Thread thread : this.threads) {
			thread.join();
		}
		return this.sent;
	}

	/**
	 * One request of a client.
	 *
	 * @param requestId the id
	 * @param gateway the gateway that took it
	 * @param sentMillis when it was sent, in milliseconds of the log
	 * @param endMillis when it ended
	 * @param status the status of the response, or zero without one
	 */
	record Sent(String requestId, String gateway, long sentMillis, long endMillis, int status) {
	}

}
