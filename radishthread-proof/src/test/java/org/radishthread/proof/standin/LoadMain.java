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
 * Sends requests at a fixed rate and prints latencies from the time at which each was
 * due, so that a stall is not left out.
 */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends requests at a fixed rate to loopback.")
public final class LoadMain implements Callable<Integer> {

	private static final long MICROSECOND = 1_000;

	@Option(names = "--target", split = ",", required = true, description = "IP:PORT, several to compare in turn")
	private List<String> targets = List.of();

	@Option(names = "--path", defaultValue = "/swaps/today")
	private String path = "";

	@Option(names = "--rate", defaultValue = "1000", description = "requests a second")
	private int rate;

	@Option(names = "--seconds", defaultValue = "10")
	private int seconds;

	@Option(names = "--warm-up", defaultValue = "5")
	private int warmUp;

	@Option(names = "--once", description = "send POST requests, each with a key of its own")
	private boolean once;

	private LoadMain() {
	}

	public static void main(String[] arguments) {
		System.exit(new CommandLine(new LoadMain()).execute(arguments));
	}

	@Override
	public Integer call() throws Exception {
		HttpClient client = new HttpClient();
		client.setMaxConnectionsPerDestination(64);
		client.start();
		for (String target : this.targets) {
			send(client, target, this.warmUp, new ConcurrentHistogram(3));
		}
		for (String target : this.targets) {
			Histogram latencies = new ConcurrentHistogram(3);
			int failed = send(client, target, this.seconds, latencies);
			System.out.println(String.format(Locale.ROOT,
					"target=%s requests=%d failed=%d p50-micros=%d p99-micros=%d p999-micros=%d", target,
					latencies.getTotalCount(), failed, latencies.getValueAtPercentile(50),
					latencies.getValueAtPercentile(99), latencies.getValueAtPercentile(99.9)));
		}
		client.stop();
		return 0;
	}

	private int send(HttpClient client, String target, int duration, Histogram latencies) throws Exception {
		int count = this.rate * duration;
		long pause = 1_000_000_000L / this.rate;
		long start = System.nanoTime() + pause;
		CountDownLatch open = new CountDownLatch(count);
		AtomicInteger failed = new AtomicInteger();
		for (int i = 0; i < count; i++) {
			long due = start + i * pause;
			while (System.nanoTime() < due) {
				Thread.onSpinWait();
			}
			request(client, target, i).send((result) -> {
				if (result.isFailed() || result.getResponse().getStatus() != 200) {
					failed.incrementAndGet();
				}
				latencies.recordValue((System.nanoTime() - due) / MICROSECOND);
				open.countDown();
			});
		}
		open.await(60, TimeUnit.SECONDS);
		return failed.get();
	}

	private Request request(HttpClient client, String target, int number) {
		Request request = client.newRequest("http://" + target + this.path);
		if (this.once) {
			request.method("POST")
				.headers((headers) -> headers.put("Idempotency-Key", target + number + System.nanoTime()))
				.body(new BytesRequestContent("room=7".getBytes(StandardCharsets.UTF_8)));
		}
		return request;
	}

}
