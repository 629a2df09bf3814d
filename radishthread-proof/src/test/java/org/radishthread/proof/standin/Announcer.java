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
 * Sends the announcements of one upstream to instances in turn, as if they arrived
 * through a load balancer in front of the instances.
 */
public final class Announcer {

	private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 500;

	private final List<String> administrationAddresses;

	private final String token;

	private final String name;

	private final String service;

	private final String address;

	private final String zone;

	private final int slots;

	private final long incarnation = System.currentTimeMillis();

	private final AtomicLong sequence = new AtomicLong();

	private final HttpClient httpClient = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
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
		this.scheduler.scheduleWithFixedDelay(this::announce, 0, ANNOUNCEMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return this;
	}

	public void changeState(String newState) {
		this.state = newState;
		announce();
	}

	public void stop() {
		this.scheduler.shutdownNow();
	}

	private synchronized void announce() {
		long sequenceNumber = this.sequence.incrementAndGet();
		String administrationAddress = this.administrationAddresses
			.get((int) (sequenceNumber % this.administrationAddresses.size()));
		String body = """
				{"service":"%s","address":"%s","zone":"%s","slots":%d,"incarnation":%d,"sequence":%d,"state":"%s"}
				""".formatted(this.service, this.address, this.zone, this.slots, this.incarnation, sequenceNumber,
				this.state);
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + administrationAddress + "/announcements/" + this.name))
			.header("Authorization", "Bearer " + this.token)
			.timeout(Duration.ofMillis(500))
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			this.httpClient.send(request, HttpResponse.BodyHandlers.discarding());
		}
		catch (IOException ex) {
			// The next announcement goes to another instance.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
