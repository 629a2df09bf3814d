package org.radishthread.proof.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An upstream that answers each request with bytes that no library would send.
 */
public final class RawUpstream extends AbstractStandInServer {

	private final Answer answer;

	public RawUpstream(Answer answer) throws IOException {
		this.answer = answer;
	}

	public RawUpstream start() {
		startServing();
		return this;
	}

	@Override
	protected void accepted(Socket socket) {
		execute(() -> serve(socket));
	}

	private void serve(Socket socket) {
		try (socket;
				BufferedReader reader = new BufferedReader(
						new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
			String line = reader.readLine();
			while (line != null) {
				if (line.isEmpty()) {
					socket.getOutputStream().write(this.answer.text.getBytes(StandardCharsets.US_ASCII));
					socket.getOutputStream().flush();
					if (this.answer.closes) {
						return;
					}
				}
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection.
		}
	}

	/**
	 * What the upstream sends.
	 */
	public enum Answer {

		/**
		 * A length, and nothing behind the headers.
		 */
		HEADER_ONLY("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", true),

		/**
		 * Neither length nor chunks, ended by the connection.
		 */
		WITHOUT_END("HTTP/1.1 200 OK\r\n\r\nsome of it", true),

		/**
		 * The last chunk is missing.
		 */
		UNFINISHED_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n", true),

		/**
		 * A whole answer and at once another that nobody asked for.
		 */
		TWO_ANSWERS("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
				+ "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nstranger", false),

		/**
		 * No HTTP at all.
		 */
		NOISE("\u0001\u0002 this is not an answer \r\n\r\n", true);

		private final String text;

		private final boolean closes;

		Answer(String text, boolean closes) {
			this.text = text;
			this.closes = closes;
		}

	}

}
