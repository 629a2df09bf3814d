import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a target of the platform: it registers, sends heartbeats, answers its
 * health path, and passes other requests to a behaviour.
 */
final class Server {

	static final int SLOTS = 3;

	private static final int HEARTBEAT_MILLIS = 1_500;

	/** A request as it arrived. */
	record Request(String method, String path, Map<String, String> headers, byte[] body) {

		String id() {
			return this.headers.getOrDefault("x-request-id", "");
		}

	}

	/** Answers a request and returns whether the connection stays open. */
	interface Behaviour {

		boolean answer(Server server, Request request, Socket socket) throws Exception;

	}

	final String id = String.format("i-%08x", new Random().nextInt());

	private final String service;

	private final Deployment deployment;

	private final Record record;

	private final Behaviour behaviour;

	private final ServerSocket listener;

	private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();

	private final long born = System.currentTimeMillis();

	private final AtomicLong sequence = new AtomicLong();

	volatile String state = "ready";

	private volatile boolean beating = true;

	Server(Deployment deployment, Record record, String service, Behaviour behaviour) throws IOException {
		this(deployment, record, service, 0, behaviour);
	}

	Server(Deployment deployment, Record record, String service, int port, Behaviour behaviour) throws IOException {
		this.deployment = deployment;
		this.record = record;
		this.service = service;
		this.behaviour = behaviour;
		this.listener = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
		startThread(this::acceptConnections);
		startThread(this::beat);
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void beat() {
		while (this.beating) {
			boolean confirmed = heartbeat();
			sleep(confirmed ? HEARTBEAT_MILLIS : 200);
		}
	}

	/** Sends a heartbeat to the control instances in turn until one confirms it. */
	boolean heartbeat() {
		return sendHeartbeat(newHeartbeat());
	}

	boolean sendHeartbeat(String body) {
		return callAny("/instances/" + this.id + "/heartbeat", body);
	}

	/** Writes the next heartbeat, which may be sent later. */
	String newHeartbeat() {
		return String.format(
				"{\"addr\":\"127.0.0.1:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":%d},"
						+ "\"status\":{\"state\":\"%s\",\"seq\":%d,\"cold_left_ms\":0},\"born\":%d}",
				port(), this.service, SLOTS, this.state, this.sequence.incrementAndGet(), this.born);
	}

	boolean deregister() {
		this.beating = false;
		return callAny("/instances/" + this.id + "/deregister", "{\"born\":" + this.born + "}");
	}

	private boolean callAny(String path, String body) {
		for (String address : this.deployment.controlAddresses()) {
			if (this.deployment.call("POST", address, path, body) == 200) {
				return true;
			}
		}
		return false;
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.add(socket);
				startThread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server was closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream(), 65_536);
			while (true) {
				Request request = read(input);
				if (!request.path().equals("/health")
						&& !this.id.equals(request.headers().getOrDefault("x-expect-instance", this.id))) {
					write(socket, 421, "X-Not-Executed: 1\r\nX-Request-Id: " + request.id() + "\r\n", new byte[0]);
				}
				else if (request.path().equals("/health")) {
					write(socket, this.state.equals("ready") ? 200 : 503,
							"X-Instance-Id: " + this.id + "\r\nX-Load-Report: 0,0," + SLOTS + ",100\r\n", new byte[0]);
				}
				else if (!this.behaviour.answer(this, request, socket)) {
					return;
				}
			}
		}
		catch (Exception ex) {
			// The peer closed the connection.
		}
	}

	private static Request read(InputStream input) throws IOException {
		String[] requestLine = Caller.readLine(input).split(" ");
		Map<String, String> headers = new TreeMap<>();
		for (String line = Caller.readLine(input); !line.isEmpty(); line = Caller.readLine(input)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.containsKey("content-length")) {
			body.writeBytes(input.readNBytes(Integer.parseInt(headers.get("content-length"))));
		}
		else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
				body.writeBytes(input.readNBytes(size));
				Caller.readLine(input);
			}
			Caller.readLine(input);
		}
		return new Request(requestLine[0], requestLine[1], headers, body.toByteArray());
	}

	private static int chunkSize(InputStream input) throws IOException {
		return Integer.parseInt(Caller.readLine(input).split(";")[0].strip(), 16);
	}

	/** Writes the head of an answer that has the headers of a sound target. */
	static void writeHead(Socket socket, int status, String id, String headers) throws IOException {
		String head = "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\n"
				+ headers + "\r\n";
		socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
	}

	/** Writes a whole answer with a length. */
	static void answer(Socket socket, Request request, byte[] body) throws IOException {
		writeHead(socket, 200, request.id(), "X-Load-Report: 1,0," + SLOTS + ",100\r\nContent-Length: " + body.length + "\r\n");
		socket.getOutputStream().write(body);
	}

	private static void write(Socket socket, int status, String headers, byte[] body) throws IOException {
		OutputStream output = socket.getOutputStream();
		String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
		output.write(head.getBytes(StandardCharsets.ISO_8859_1));
		output.write(body);
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Ends the server and its connections, as the end of a process does. */
	void exit() throws IOException {
		this.beating = false;
		this.listener.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

}
