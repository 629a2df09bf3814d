package org.radishthread.proof.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Announces an upstream to instances in turn, as it would through the platform's
 * balancer.
 */
public final class Announcer {

	private static final long PAUSE_MILLIS = 500;

	private final List<String> administrationAddresses;

	private final String token;

	private final String name;

	private final String service;

	private final String address;

	private final String zone;

	private final int slots;

	private final long incarnation = System.currentTimeMillis();

	private final AtomicLong sequence = new AtomicLong();

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "announcer");
		thread.setDaemon(true);
		return thread;
	});

	private volatile String state = "ready";

	public Announcer(List<String> administrationAddresses, String token, String name, String service, String address,
			String zone, int slots) {
		this.administrationAddresses = administrationAddresses;
		this.token = token;
		this.name = name;
		this.service = service;
		this.address = address;
		this.zone = zone;
		this.slots = slots;
	}

	public Announcer start() {
		this.timer.scheduleWithFixedDelay(this::announce, 0, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
		return this;
	}

	public void changeState(String changed) {
		this.state = changed;
		announce();
	}

	public void fallSilent() {
		this.timer.shutdownNow();
	}

	private synchronized void announce() {
		long number = this.sequence.incrementAndGet();
		String target = this.administrationAddresses.get((int) (number % this.administrationAddresses.size()));
		String body = """
				{"service":"%s","address":"%s","zone":"%s","slots":%d,"incarnation":%d,"sequence":%d,"state":"%s"}
				""".formatted(this.service, this.address, this.zone, this.slots, this.incarnation, number, this.state);
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + "/announcements/" + this.name))
			.header("Authorization", "Bearer " + this.token)
			.timeout(Duration.ofMillis(500))
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			this.client.send(request, HttpResponse.BodyHandlers.discarding());
		}
		catch (IOException ex) {
			// The next announcement goes to another instance.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
