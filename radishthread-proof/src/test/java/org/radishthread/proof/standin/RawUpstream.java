package org.radishthread.proof.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A stand-in upstream that replies to each request with fixed bytes that an HTTP library
 * would not send.
 */
public final class RawUpstream extends AbstractStandInServer {

	private final RawResponse response;

	public RawUpstream(RawResponse response) throws IOException {
		this.response = response;
	}

	public RawUpstream start() {
		startServing();
		return this;
	}

	@Override
	protected void handleConnection(Socket socket) {
		execute(() -> serve(socket));
	}

	private void serve(Socket socket) {
		try (socket;
				BufferedReader reader = new BufferedReader(
						new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
			String line = reader.readLine();
			while (line != null) {
				if (line.isEmpty()) {
					socket.getOutputStream().write(this.response.content.getBytes(StandardCharsets.US_ASCII));
					socket.getOutputStream().flush();
					if (this.response.closesConnection) {
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
	 * Bytes that the upstream sends for each request.
	 */
	public enum RawResponse {

		/**
		 * A header section that declares a body of ten bytes, and no body.
		 */
		HEADER_ONLY("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", true),

		/**
		 * A body without length or chunks, which ends when the connection closes.
		 */
		WITHOUT_END("HTTP/1.1 200 OK\r\n\r\nsome of it", true),

		/**
		 * A chunked body without its final chunk.
		 */
		UNFINISHED_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n", true),

		/**
		 * A complete response, followed at once by a second one that belongs to no
		 * request.
		 */
		TWO_ANSWERS("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
				+ "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nstranger", false),

		/**
		 * Bytes that are not HTTP.
		 */
		NOISE("\u0001\u0002 this is not an answer \r\n\r\n", true);

		private final String content;

		private final boolean closesConnection;

		RawResponse(String content, boolean closesConnection) {
			this.content = content;
			this.closesConnection = closesConnection;
		}

	}

}
