package org.radishthread.proof.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command that sends requests at a fixed rate and prints latency percentiles. A latency
 * counts from the time at which the request was due, so that requests delayed by a stall
 * are included with the delay.
 */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends requests at a fixed rate to loopback.")
public final class LoadMain implements Callable<Integer> {

	private static final long NANOS_PER_MICROSECOND = 1_000;

	@Option(names = "--target", split = ",", required = true, description = "IP:PORT, several to compare in turn")
	private List<String> targets = List.of();

	@Option(names = "--path", defaultValue = "/swaps/today")
	private String path = "";

	@Option(names = "--rate", defaultValue = "1000", description = "requests a second")
	private int requestsPerSecond;

	@Option(names = "--seconds", defaultValue = "10")
	private int seconds;

	@Option(names = "--warm-up", defaultValue = "5")
	private int warmUpSeconds;

	@Option(names = "--once", description = "send POST requests, each with a key of its own")
	private boolean onceOnly;

	private LoadMain() {
	}

	public static void main(String[] arguments) {
		System.exit(new CommandLine(new LoadMain()).execute(arguments));
	}

	@Override
	public Integer call() throws Exception {
		HttpClient httpClient = new HttpClient();
		httpClient.setMaxConnectionsPerDestination(64);
		httpClient.start();
		for (String target : this.targets) {
			sendAtFixedRate(httpClient, target, this.warmUpSeconds, new ConcurrentHistogram(3));
		}
		for (String target : this.targets) {
			Histogram latencies = new ConcurrentHistogram(3);
			int failureCount = sendAtFixedRate(httpClient, target, this.seconds, latencies);
			System.out.println(String.format(Locale.ROOT,
					"target=%s requests=%d failed=%d p50-micros=%d p99-micros=%d p999-micros=%d", target,
					latencies.getTotalCount(), failureCount, latencies.getValueAtPercentile(50),
					latencies.getValueAtPercentile(99), latencies.getValueAtPercentile(99.9)));
		}
		httpClient.stop();
		return 0;
	}

	private int sendAtFixedRate(HttpClient httpClient, String target, int durationSeconds, Histogram latencies)
			throws Exception {
		int count = this.requestsPerSecond * durationSeconds;
		long intervalNanos = 1_000_000_000L / this.requestsPerSecond;
		long startNanos = System.nanoTime() + intervalNanos;
		CountDownLatch pendingRequests = new CountDownLatch(count);
		AtomicInteger failureCount = new AtomicInteger();
		for (int i = 0; i < count; i++) {
			long dueNanos = startNanos + i * intervalNanos;
			while (System.nanoTime() < dueNanos) {
				Thread.onSpinWait();
			}
			newRequest(httpClient, target, i).send((result) -> {
				if (result.isFailed() || result.getResponse().getStatus() != 200) {
					failureCount.incrementAndGet();
				}
				latencies.recordValue((System.nanoTime() - dueNanos) / NANOS_PER_MICROSECOND);
				pendingRequests.countDown();
			});
		}
		pendingRequests.await(60, TimeUnit.SECONDS);
		return failureCount.get();
	}

	private Request newRequest(HttpClient httpClient, String target, int index) {
		Request request = httpClient.newRequest("http://" + target + this.path);
		if (this.onceOnly) {
			request.method("POST")
				.headers((headers) -> headers.put("Idempotency-Key", target + index + System.nanoTime()))
				.body(new BytesRequestContent("room=7".getBytes(StandardCharsets.UTF_8)));
		}
		return request;
	}

}
