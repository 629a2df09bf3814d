package org.radishthread.proof.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A stand-in upstream with a fixed number of slots and a selectable fault. It counts how
 * often it ran the request of each idempotency key.
 */
public final class StandInUpstream extends Handler.Abstract.NonBlocking {

	private static final long COLD_PERIOD_NANOS = 3_000_000_000L;

	private final long startedNanos = System.nanoTime();

	private final Server server;

	private final ServerConnector connector;

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1, (task) -> {
		Thread thread = new Thread(task, "stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final int slots;

	private int busySlots;

	private final Queue<Runnable> queuedRequests = new ArrayDeque<>();

	private final Map<String, AtomicInteger> runCounts = new ConcurrentHashMap<>();

	private final AtomicLong receivedBytes = new AtomicLong();

	private final AtomicInteger requestCount = new AtomicInteger();

	private final AtomicInteger responseCount = new AtomicInteger();

	private volatile long serviceMillis;

	private volatile Fault fault = Fault.NONE;

	public StandInUpstream(int port, int slots, long serviceMillis) {
		this.slots = slots;
		this.serviceMillis = serviceMillis;
		QueuedThreadPool threads = new QueuedThreadPool(16, 2);
		threads.setDaemon(true);
		this.server = new Server(threads);
		this.connector = new ServerConnector(this.server, 1, 1);
		this.connector.setHost("127.0.0.1");
		this.connector.setPort(port);
		this.server.addConnector(this.connector);
		this.server.setHandler(this);
	}

	public StandInUpstream startServing() throws Exception {
		this.server.start();
		return this;
	}

	public void stopServing() throws Exception {
		this.server.stop();
		this.scheduler.shutdownNow();
	}

	public int port() {
		return this.connector.getLocalPort();
	}

	public String address() {
		return "127.0.0.1:" + port();
	}

	public void setServiceMillis(long serviceMillis) {
		this.serviceMillis = serviceMillis;
	}

	public void setFault(Fault fault) {
		this.fault = fault;
	}

	public int runCount(String key) {
		AtomicInteger count = this.runCounts.get(key);
		return (count != null) ? count.get() : 0;
	}

	public int maximumRunCount() {
		return this.runCounts.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
	}

	public int requestCount() {
		return this.requestCount.get();
	}

	public int responseCount() {
		return this.responseCount.get();
	}

	public long receivedBytes() {
		return this.receivedBytes.get();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		this.requestCount.incrementAndGet();
		if (request.getHttpURI().getPath().equals("/stand-in/runs")) {
			writeResponse(response, callback, String.valueOf(maximumRunCount()));
			return true;
		}
		if (this.fault == Fault.SHED) {
			response.setStatus(503);
			response.getHeaders().put("Radishthread-Outcome", "not-run");
			response.write(true, ByteBuffer.allocate(0), callback);
			return true;
		}
		if (this.fault == Fault.FAIL_FAST) {
			Response.writeError(request, response, callback, 500);
			return true;
		}
		readBody(request, new AtomicLong(),
				(bodyBytes) -> runWhenSlotFree(() -> run(request, response, callback, bodyBytes)), callback::failed);
		return true;
	}

	private void readBody(Request request, AtomicLong bodyBytes, java.util.function.LongConsumer onComplete,
			java.util.function.Consumer<Throwable> onFailure) {
		while (true) {
			Content.Chunk chunk = request.read();
			if (chunk == null) {
				request.demand(() -> readBody(request, bodyBytes, onComplete, onFailure));
				return;
			}
			if (Content.Chunk.isFailure(chunk)) {
				onFailure.accept(chunk.getFailure());
				return;
			}
			bodyBytes.addAndGet(chunk.remaining());
			this.receivedBytes.addAndGet(chunk.remaining());
			boolean isLast = chunk.isLast();
			chunk.release();
			if (isLast) {
				onComplete.accept(bodyBytes.get());
				return;
			}
		}
	}

	private void runWhenSlotFree(Runnable task) {
		synchronized (this) {
			if (this.busySlots >= this.slots) {
				this.queuedRequests.add(task);
				return;
			}
			this.busySlots++;
		}
		task.run();
	}

	private void releaseSlot() {
		Runnable next;
		synchronized (this) {
			next = this.queuedRequests.poll();
			if (next == null) {
				this.busySlots--;
			}
		}
		if (next != null) {
			next.run();
		}
	}

	private void run(Request request, Response response, Callback callback, long bodyBytes) {
		String key = request.getHeaders().get("Idempotency-Key");
		if (key != null) {
			this.runCounts.computeIfAbsent(key, (ignored) -> new AtomicInteger()).incrementAndGet();
		}
		if (this.fault == Fault.SILENT) {
			return;
		}
		boolean inColdPeriod = this.fault == Fault.COLD && System.nanoTime() - this.startedNanos < COLD_PERIOD_NANOS;
		long slowdownFactor = (this.fault == Fault.SLOW || inColdPeriod) ? 10 : 1;
		long delayMillis = this.serviceMillis * slowdownFactor;
		Runnable completion = () -> {
			releaseSlot();
			sendResponse(request, response, callback, bodyBytes);
		};
		if (delayMillis == 0) {
			completion.run();
		}
		else {
			this.scheduler.schedule(completion, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void sendResponse(Request request, Response response, Callback callback, long bodyBytes) {
		this.responseCount.incrementAndGet();
		String requestId = request.getHeaders().get("Radishthread-Request");
		response.getHeaders().put("Radishthread-Load", this.busySlots);
		if (this.fault == Fault.WRONG_REQUEST) {
			response.getHeaders().put("Radishthread-Request", "another");
		}
		else if (requestId != null) {
			response.getHeaders().put("Radishthread-Request", requestId);
		}
		String responseLength = request.getHeaders().get("Stand-In-Answer-Bytes");
		String body = (responseLength != null) ? "x".repeat(Integer.parseInt(responseLength))
				: request.getMethod() + ' ' + request.getHttpURI().getPathQuery() + " bytes=" + bodyBytes + '\n';
		if (this.fault == Fault.TRUNCATE) {
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
			response.write(false, ByteBuffer.wrap(bytes, 0, bytes.length / 2),
					Callback.from(() -> request.getConnectionMetaData().getConnection().getEndPoint().close()));
			return;
		}
		writeResponse(response, callback, body);
	}

	private static void writeResponse(Response response, Callback callback, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

	/**
	 * Fault of a stand-in upstream.
	 */
	public enum Fault {

		/**
		 * Runs every request and responds normally.
		 */
		NONE,

		/**
		 * Declines every request without running it, as an overloaded upstream does.
		 */
		SHED,

		/**
		 * Responds to every request at once with status 500.
		 */
		FAIL_FAST,

		/**
		 * Runs requests but never responds and never frees their slots.
		 */
		SILENT,

		/**
		 * Takes ten times the service time.
		 */
		SLOW,

		/**
		 * Takes ten times the service time during the first three seconds.
		 */
		COLD,

		/**
		 * Closes the connection in the middle of a response.
		 */
		TRUNCATE,

		/**
		 * Names another request in the {@code Radishthread-Request} header of the
		 * response.
		 */
		WRONG_REQUEST

	}

}
