package org.radishthread.daemon.gateway;

/**
 * What an upstream that has run a request writes before it closes the connection.
 */
enum UpstreamAnswer {

	WHOLE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"),
	SERVER_ERROR("HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail"),
	CUT("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nd");

	private final String text;

	UpstreamAnswer(String text) {
		this.text = text;
	}

	String text() {
		return this.text;
	}

}
