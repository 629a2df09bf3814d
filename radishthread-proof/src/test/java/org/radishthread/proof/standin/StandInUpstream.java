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
 * An upstream with a number of slots and switches for its faults. It counts how often
 * each request ran.
 */
public final class StandInUpstream extends Handler.Abstract.NonBlocking {

	private static final long COLD_NANOS = 3_000_000_000L;

	private final long startedNanos = System.nanoTime();

	private final Server server;

	private final ServerConnector connector;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, (task) -> {
		Thread thread = new Thread(task, "stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final int slots;

	private int busy;

	private final Queue<Runnable> waiting = new ArrayDeque<>();

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final AtomicLong received = new AtomicLong();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

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
		this.timer.shutdownNow();
	}

	public int port() {
		return this.connector.getLocalPort();
	}

	public String address() {
		return "127.0.0.1:" + port();
	}

	public void setServiceMillis(long millis) {
		this.serviceMillis = millis;
	}

	public void setFault(Fault fault) {
		this.fault = fault;
	}

	public int runsOf(String key) {
		AtomicInteger count = this.runs.get(key);
		return (count != null) ? count.get() : 0;
	}

	public int maximumRuns() {
		return this.runs.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
	}

	public int requests() {
		return this.requests.get();
	}

	public int answered() {
		return this.answered.get();
	}

	public long receivedBytes() {
		return this.received.get();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		this.requests.incrementAndGet();
		if (request.getHttpURI().getPath().equals("/stand-in/runs")) {
			write(response, callback, String.valueOf(maximumRuns()));
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
		drain(request, new AtomicLong(), (size) -> enter(() -> run(request, response, callback, size)),
				callback::failed);
		return true;
	}

	private void drain(Request request, AtomicLong size, java.util.function.LongConsumer done,
			java.util.function.Consumer<Throwable> failed) {
		while (true) {
			Content.Chunk chunk = request.read();
			if (chunk == null) {
				request.demand(() -> drain(request, size, done, failed));
				return;
			}
			if (Content.Chunk.isFailure(chunk)) {
				failed.accept(chunk.getFailure());
				return;
			}
			size.addAndGet(chunk.remaining());
			this.received.addAndGet(chunk.remaining());
			boolean last = chunk.isLast();
			chunk.release();
			if (last) {
				done.accept(size.get());
				return;
			}
		}
	}

	private void enter(Runnable work) {
		synchronized (this) {
			if (this.busy >= this.slots) {
				this.waiting.add(work);
				return;
			}
			this.busy++;
		}
		work.run();
	}

	private void leave() {
		Runnable next;
		synchronized (this) {
			next = this.waiting.poll();
			if (next == null) {
				this.busy--;
			}
		}
		if (next != null) {
			next.run();
		}
	}

	private void run(Request request, Response response, Callback callback, long size) {
		String key = request.getHeaders().get("Idempotency-Key");
		if (key != null) {
			this.runs.computeIfAbsent(key, (name) -> new AtomicInteger()).incrementAndGet();
		}
		if (this.fault == Fault.SILENT) {
			return;
		}
		boolean cold = this.fault == Fault.COLD && System.nanoTime() - this.startedNanos < COLD_NANOS;
		long factor = (this.fault == Fault.SLOW || cold) ? 10 : 1;
		long millis = this.serviceMillis * factor;
		Runnable answer = () -> {
			leave();
			answer(request, response, callback, size);
		};
		if (millis == 0) {
			answer.run();
		}
		else {
			this.timer.schedule(answer, millis, TimeUnit.MILLISECONDS);
		}
	}

	private void answer(Request request, Response response, Callback callback, long size) {
		this.answered.incrementAndGet();
		String echoed = request.getHeaders().get("Radishthread-Request");
		response.getHeaders().put("Radishthread-Load", this.busy);
		if (this.fault == Fault.WRONG_REQUEST) {
			response.getHeaders().put("Radishthread-Request", "another");
		}
		else if (echoed != null) {
			response.getHeaders().put("Radishthread-Request", echoed);
		}
		String wanted = request.getHeaders().get("Stand-In-Answer-Bytes");
		String body = (wanted != null) ? "x".repeat(Integer.parseInt(wanted))
				: request.getMethod() + ' ' + request.getHttpURI().getPathQuery() + " bytes=" + size + '\n';
		if (this.fault == Fault.TRUNCATE) {
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
			response.write(false, ByteBuffer.wrap(bytes, 0, bytes.length / 2),
					Callback.from(() -> request.getConnectionMetaData().getConnection().getEndPoint().close()));
			return;
		}
		write(response, callback, body);
	}

	private static void write(Response response, Callback callback, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

	/**
	 * What is wrong with the upstream.
	 */
	public enum Fault {

		/**
		 * Nothing.
		 */
		NONE,

		/**
		 * Refuses before running.
		 */
		SHED,

		/**
		 * Fails at once.
		 */
		FAIL_FAST,

		/**
		 * Runs requests and never answers.
		 */
		SILENT,

		/**
		 * Takes ten times as long.
		 */
		SLOW,

		/**
		 * Takes ten times as long in its first three seconds.
		 */
		COLD,

		/**
		 * Breaks off in the middle of an answer.
		 */
		TRUNCATE,

		/**
		 * Answers as if to another request.
		 */
		WRONG_REQUEST

	}

}
