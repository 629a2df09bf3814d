package org.radishthread.daemon.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * HTTP/1.1 connection whose heads and trailers are limited by a {@link BufferBudget} that
 * all connections of a server share. A request that exceeds it is refused with status
 * 431, and the connection is closed. Trailers are read and dropped. A head that is
 * refused or cut off is dropped with its connection, also where tasks of the server still
 * refer to that. Safe for use by several threads.
 */
final class BudgetedHttpConnection extends HttpConnection {

	private final HeadAccount head;

	// Set by the constructor of the superclass, so it has no initial value here.
	private BudgetedRequestHandler requestHandler;

	private volatile boolean inRequest;

	private volatile boolean inMessage;

	private volatile long lastRequestNanos = System.nanoTime();

	BudgetedHttpConnection(HttpConfiguration configuration, Connector connector, EndPoint endPoint,
			BufferBudget headBudget) {
		super(configuration, connector, endPoint);
		this.head = new HeadAccount(headBudget);
	}

	/**
	 * Returns whether a whole head has arrived whose request is not completed.
	 * @return whether a request is in progress
	 */
	boolean isInRequest() {
		return this.inRequest;
	}

	/**
	 * Returns how long no request has been in progress.
	 * @return the time since the last one, or since the connection was opened, in
	 * nanoseconds
	 */
	long nanosWithoutRequest() {
		return System.nanoTime() - this.lastRequestNanos;
	}

	/**
	 * Returns how long the caller has not read a response that waits to be written.
	 * @return the time in nanoseconds, or zero if no response waits
	 */
	long nanosUnread() {
		return (getEndPoint() instanceof AbstractEndPoint endPoint && endPoint.getWriteFlusher().isPending())
				? TimeUnit.MILLISECONDS.toNanos(endPoint.getIdleFor()) : 0;
	}

	@Override
	protected HttpParser newHttpParser(HttpCompliance compliance) {
		HttpConfiguration configuration = getHttpConfiguration();
		HttpParser parser = new BudgetedParser(this.requestHandler, configuration.getRequestHeaderSize(), compliance);
		parser.setHeaderCacheSize(configuration.getHeaderCacheSize());
		parser.setHeaderCacheCaseSensitive(configuration.isHeaderCacheCaseSensitive());
		return parser;
	}

	@Override
	protected RequestHandler newRequestHandler() {
		this.requestHandler = new BudgetedRequestHandler();
		return this.requestHandler;
	}

	@Override
	protected HttpStreamOverHTTP1 newHttpStream(String method, String uri, HttpVersion version) {
		return new BudgetedStream(method, uri, version);
	}

	@Override
	public void onClose(Throwable cause) {
		super.onClose(cause);
		this.requestHandler.dropFields();
		if (this.head.reservedBytes() > 0) {
			afterSelection(this.head::close);
		}
		else {
			this.head.close();
		}
	}

	// A selector refers to a closed connection, and thereby to the line that its parser
	// has begun, until it has handled all other connections that are ready.
	private void afterSelection(Runnable task) {
		((ServerConnector) getConnector()).getSelectorManager()
			.getBeans(ManagedSelector.class)
			.forEach((selector) -> selector.submit((ignored) -> task.run()));
	}

	// Trailers are counted until the message ends, which may be after its response. What
	// belongs to the last message of a connection is counted until its close.
	private synchronized void onRequestCompleted() {
		if (!this.inMessage && getGenerator().isPersistent()) {
			this.head.clear();
		}
		this.lastRequestNanos = System.nanoTime();
		this.inRequest = false;
	}

	private synchronized void onMessageCompleted() {
		this.inMessage = false;
		if (!this.inRequest && getGenerator().isPersistent()) {
			this.head.clear();
		}
	}

	/**
	 * Counts what is read of a line before its end, which becomes a field only then.
	 */
	private final class BudgetedParser extends HttpParser {

		private BudgetedParser(HttpParser.RequestHandler handler, int maximumHeadBytes, HttpCompliance compliance) {
			super(handler, maximumHeadBytes, compliance);
		}

		@Override
		public boolean parseNext(ByteBuffer buffer) {
			int bytesBefore = buffer.remaining();
			boolean handled = super.parseNext(buffer);
			int readBytes = bytesBefore - buffer.remaining();
			if (readBytes > 0 && isInHeadOrTrailers()) {
				countUnfinished(readBytes);
			}
			return handled;
		}

		private boolean isInHeadOrTrailers() {
			return (inHeaderState() && !isStart()) || isState(State.TRAILER);
		}

		private void countUnfinished(int bytes) {
			try {
				BudgetedHttpConnection.this.head.addBytes(bytes);
			}
			catch (BadMessageException ex) {
				badMessage(ex);
			}
		}

	}

	/**
	 * Counts the fields of a head and its trailers as they are parsed. Keeps those of a
	 * head until it is complete, because the superclass does not drop them when a head is
	 * refused or cut off.
	 */
	private final class BudgetedRequestHandler extends RequestHandler {

		private volatile List<HttpField> fields = new ArrayList<>();

		private String pathAndQuery = "";

		@Override
		public void startRequest(String method, String uri, HttpVersion version) {
			this.pathAndQuery = uri;
			super.startRequest(method, uri, version);
		}

		@Override
		public void parsedHeader(HttpField field) {
			BudgetedHttpConnection.this.head.addField(field);
			this.fields.add(field);
		}

		@Override
		public boolean headerComplete() {
			BudgetedHttpConnection.this.inMessage = true;
			BudgetedHttpConnection.this.inRequest = true;
			List<HttpField> headFields = this.fields;
			dropFields();
			headFields.forEach(super::parsedHeader);
			boolean handle = super.headerComplete();
			if (LargeHead.isLarge(this.pathAndQuery, headFields)) {
				getGenerator().setPersistent(false);
			}
			this.pathAndQuery = "";
			return handle;
		}

		@Override
		public void badMessage(HttpException failure) {
			dropFields();
			super.badMessage(failure);
		}

		@Override
		public void earlyEOF() {
			dropFields();
			super.earlyEOF();
		}

		private void dropFields() {
			this.fields = new ArrayList<>();
		}

		// Not kept, because no handler reads trailers. A closed connection would hold
		// them as long as a task of the server refers to it.
		@Override
		public void parsedTrailer(HttpField field) {
			BudgetedHttpConnection.this.head.addField(field);
			if (LargeHead.isLong(field)) {
				getGenerator().setPersistent(false);
			}
		}

		@Override
		public boolean messageComplete() {
			boolean handle = super.messageComplete();
			onMessageCompleted();
			return handle;
		}

	}

	/**
	 * Returns the memory of a request when it is completed, before the next one is
	 * parsed.
	 */
	private final class BudgetedStream extends HttpStreamOverHTTP1 {

		private BudgetedStream(String method, String uri, HttpVersion version) {
			super(method, uri, version);
		}

		@Override
		public void succeeded() {
			onRequestCompleted();
			super.succeeded();
		}

		@Override
		public void failed(Throwable cause) {
			onRequestCompleted();
			super.failed(cause);
		}

	}

}
