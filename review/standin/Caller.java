import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client that sends one request on a connection of its own and reads the answer. */
final class Caller {

	/**
	 * What the client received.
	 *
	 * @param status the status, or 0 if no complete head arrived
	 * @param complete whether the answer ended as its head announces
	 * @param ending how the connection ended: complete, closed, reset or timeout
	 */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String ending, long millis) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	private Caller() {
	}

	static Answer send(InetSocketAddress gateway, String method, String host, String path, String id, int timeLimitMillis,
			byte[] body) {
		long startNanos = System.nanoTime();
		long endNanos = startNanos + timeLimitMillis * 1_000_000L;
		Map<String, String> headers = new TreeMap<>();
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		int status = 0;
		String ending = "closed";
		boolean complete = false;
		try (Socket socket = new Socket()) {
			socket.connect(gateway, 1_000);
			socket.setTcpNoDelay(true);
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
					+ "\r\nX-Deadline-Ms: " + timeLimitMillis + "\r\n"
					+ ((body != null) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
			socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
			if (body != null) {
				socket.getOutputStream().write(body);
			}
			InputStream input = new BufferedInputStream(new TimedInput(socket, endNanos), 65_536);
			String line = readLine(input);
			int receivedStatus = Integer.parseInt(line.split(" ")[1]);
			for (line = readLine(input); !line.isEmpty(); line = readLine(input)) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			status = receivedStatus;
			complete = readBody(input, headers, content);
			ending = complete ? "complete" : "closed";
		}
		catch (SocketTimeoutException ex) {
			ending = "timeout";
		}
		catch (IOException | RuntimeException ex) {
			ending = (ex instanceof EndOfInput) ? "closed" : "reset: " + ex.getMessage();
		}
		return new Answer(status, headers, content.toByteArray(), complete, ending,
				(System.nanoTime() - startNanos) / 1_000_000);
	}

	private static boolean readBody(InputStream input, Map<String, String> headers, ByteArrayOutputStream content)
			throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			while (true) {
				int size = Integer.parseInt(readLine(input).split(";")[0].strip(), 16);
				if (size == 0) {
					while (!readLine(input).isEmpty()) {
						// A trailer.
					}
					return true;
				}
				copy(input, size, content);
				readLine(input);
			}
		}
		if (headers.containsKey("content-length")) {
			copy(input, Integer.parseInt(headers.get("content-length")), content);
			return true;
		}
		byte[] buffer = new byte[65_536];
		for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
			content.write(buffer, 0, count);
		}
		return true;
	}

	private static void copy(InputStream input, int size, ByteArrayOutputStream content) throws IOException {
		byte[] buffer = new byte[65_536];
		for (int left = size; left > 0;) {
			int count = input.read(buffer, 0, Math.min(left, buffer.length));
			if (count < 0) {
				throw new EndOfInput();
			}
			content.write(buffer, 0, count);
			left -= count;
		}
	}

	static String readLine(InputStream input) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int character = input.read(); character != '\n'; character = input.read()) {
			if (character < 0) {
				throw new EndOfInput();
			}
			text.append((char) character);
		}
		return text.toString().strip();
	}

	/** Thrown at the end of the connection. */
	@SuppressWarnings("serial")
	static final class EndOfInput extends IOException {

	}

	/** Reads until a point in time. */
	private static final class TimedInput extends InputStream {

		private final Socket socket;

		private final long endNanos;

		TimedInput(Socket socket, long endNanos) {
			this.socket = socket;
			this.endNanos = endNanos;
		}

		@Override
		public int read() throws IOException {
			byte[] single = new byte[1];
			return (read(single, 0, 1) < 0) ? -1 : single[0] & 0xff;
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			long leftMillis = (this.endNanos - System.nanoTime()) / 1_000_000;
			if (leftMillis <= 0) {
				throw new SocketTimeoutException("The time limit passed.");
			}
			this.socket.setSoTimeout((int) leftMillis);
			return this.socket.getInputStream().read(buffer, offset, length);
		}

	}

}
