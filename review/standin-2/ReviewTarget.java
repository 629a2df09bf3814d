package org.radishthread.platform.faults;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Target of the platform: registers by heartbeats, runs each request at once, and records
 * when a request reached it. Like a sound target it answers 421 to a request that names
 * another one, and goes on serving after it has deregistered until it is closed.
 */
final class ReviewTarget implements AutoCloseable {

	static final int SLOTS = 6;

	private static final int HEARTBEAT_MILLIS = 1_500;

	private static final int REPEAT_MILLIS = 150;

	private static final int CALL_TIMEOUT_MILLIS = 1_000;

	private final String id;

	private final String service;

	private final RunLog log;

	private final List<String> controls;

	private final long bornMillis = System.currentTimeMillis();

	private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

	private final List<Run> runs = Collections.synchronizedList(new ArrayList<>());

	private final Thread announcer;

	ReviewTarget(RunLog log, List<String> controls, String service, String id) throws IOException {
		this.log = log;
		this.controls = controls;
		this.service = service;
		this.id = id;
		startThread(this::acceptConnections);
		this.announcer = startThread(this::announce);
	}

	private Thread startThread(Runnable task) {
		Thread thread = new Thread(task, this.id);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	String id() {
		return this.id;
	}

	List<Run> runs() {
		synchronized (this.runs) {
			return List.copyOf(this.runs);
		}
	}

	private void announce() {
		int control = 0;
		try {
			for (int sequence = 1; true; sequence++) {
				boolean confirmed = post(this.controls.get(control % this.controls.size()), "heartbeat",
						String.format(
								"{\"addr\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
										+ "\"zone\":\"zone-a\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":%d,"
										+ "\"cold_left_ms\":0}}",
								this.server.getLocalPort(), this.bornMillis, this.service, SLOTS, sequence)) == 200;
				control += confirmed ? 0 : 1;
				Thread.sleep(confirmed ? HEARTBEAT_MILLIS : REPEAT_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			// The target leaves.
		}
	}

	/**
	 * Deregisters at the given control instances in turn until one confirms.
	 * @param addresses the addresses of the control instances
	 * @return the time of the confirmation in the log, in milliseconds
	 */
	long deregister(List<String> addresses) throws InterruptedException {
		this.announcer.interrupt();
		this.announcer.join();
		for (int attempt = 0; attempt < 4 * addresses.size(); attempt++) {
			String control = addresses.get(attempt % addresses.size());
			int status = post(control, "deregister", "{\"born\":" + this.bornMillis + "}");
			this.log.write("deregister of %s at %s: status %d", this.id, control, status);
			if (status == 200) {
				return this.log.nowMillis();
			}
			Thread.sleep(REPEAT_MILLIS);
		}
		throw new IllegalStateException("No control instance confirmed the deregistration.");
	}

	// Returns zero without a response.
	private int post(String control, String call, String body) {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + control + "/instances/" + this.id + '/' + call)
				.toURL()
				.openConnection();
			connection.setConnectTimeout(CALL_TIMEOUT_MILLIS);
			connection.setReadTimeout(CALL_TIMEOUT_MILLIS);
			connection.setRequestProperty("Content-Type", "application/json");
			connection.setDoOutput(true);
			connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
			return connection.getResponseCode();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				startThread(() -> handle(socket));
			}
		}
		catch (IOException ex) {
			// The target was closed.
		}
	}

	private void handle(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream());
			while (true) {
				String path = readLine(input).split(" ")[1];
				Map<String, String> headers = new HashMap<>();
				for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
					int colon = line.indexOf(':');
					headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
				}
				input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
				respond(socket, path, headers);
			}
		}
		catch (IOException ex) {
			// The peer closed the connection.
		}
	}

	private static String readLine(InputStream input) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int character = input.read(); character != '\n'; character = input.read()) {
			if (character < 0) {
				throw new IOException("The connection ended.");
			}
			text.append((char) character);
		}
		return text.toString().strip();
	}

	private void respond(Socket socket, String path, Map<String, String> headers) throws IOException {
		if (path.equals("/health")) {
			write(socket, 200, "X-Instance-Id: " + this.id + "\r\n", "");
			return;
		}
		String requestId = headers.getOrDefault("x-request-id", "");
		String idHeader = "X-Request-Id: " + requestId + "\r\n";
		if (!this.id.equals(headers.getOrDefault("x-expect-instance", this.id))) {
			write(socket, 421, "X-Not-Executed: 1\r\n" + idHeader, "");
			return;
		}
		this.runs.add(new Run(requestId, this.log.nowMillis()));
		write(socket, 200, idHeader + "X-Response-Seal: s-" + requestId + "\r\n", this.id);
	}

	private static void write(Socket socket, int status, String headers, String body) throws IOException {
		String text = "HTTP/1.1 " + status + " Status\r\n" + headers + "X-Load-Report: 1,0," + SLOTS
				+ ",100\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	@Override
	public void close() throws IOException {
		this.announcer.interrupt();
		this.server.close();
	}

	/**
	 * One run of a request.
	 *
	 * @param requestId the id of the request
	 * @param atMillis when it reached the target, in milliseconds of the log
	 */
	record Run(String requestId, long atMillis) {
	}

}
