package org.radishthread.daemon.gateway;

import java.net.URI;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;

import org.radishthread.kernel.NetworkAddress;

/**
 * Request whose path and query are sent as they are given, character by character. The
 * superclass parses them as a URI reference, in which what follows two leading slashes is
 * not a path.
 */
final class RawPathRequest extends HttpRequest {

	private final String pathAndQuery;

	/**
	 * Creates a request.
	 * @param client the client that sends the request
	 * @param address the address to send it to
	 * @param pathAndQuery the path and the query
	 */
	RawPathRequest(HttpClient client, NetworkAddress address, String pathAndQuery) {
		super(client, new HttpConversation(), URI.create("http://" + address));
		this.pathAndQuery = pathAndQuery;
	}

	@Override
	public String getPath() {
		return this.pathAndQuery;
	}

	// The query is a part of the path.
	@Override
	public String getQuery() {
		return null;
	}

	@Override
	public Request path(String path) {
		throw new UnsupportedOperationException("The path of this request is final.");
	}

}
