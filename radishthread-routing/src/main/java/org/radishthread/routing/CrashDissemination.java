package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.radishthread.protocol.CrashClearance;
import org.radishthread.protocol.CrashNotice;

/**
 * Spreads the {@link CrashHistory} among the gateways, so that each of them refuses a
 * quarantined request and any of them can become the home of a service. News are sent to
 * all gateways at once and twice again, because messages may be lost. A gateway that has
 * just joined, or has been started again, is sent everything.
 * <p>
 * This class is a state machine: each method takes an event with the monotonic time and
 * returns the messages to send. It is not safe for concurrent use.
 */
public final class CrashDissemination {

	/**
	 * The interval at which {@link #tick} is to be called, in milliseconds. It is also
	 * the time until news are sent again.
	 */
	public static final long TICK_INTERVAL_MILLIS = 500;

	private static final int REPETITIONS = 2;

	// Keeps messages below about 16 KiB.
	private static final int MAXIMUM_CRASHES_PER_MESSAGE = 200;

	private final CrashHistory history;

	private final List<News> recentNews = new ArrayList<>();

	private Set<Peer> informedPeers = new HashSet<>();

	/**
	 * Creates the dissemination of a history.
	 * @param history the history of this instance
	 */
	public CrashDissemination(CrashHistory history) {
		this.history = history;
	}

	/**
	 * Sends a crash that this instance has found to all gateways.
	 * @param crash the crash
	 * @param peers the other live gateways
	 * @param nowNanos the current time, in nanoseconds
	 * @return the messages to send
	 */
	public List<Message> publishCrash(CrashRecord crash, Set<Peer> peers, long nowNanos) {
		return publish(new News(List.of(crash), List.of()), peers, nowNanos);
	}

	/**
	 * Sends the completion of a request, which clears it, to all gateways.
	 * @param digest what equal requests have in common
	 * @param completedAtNanos the time of the completion, in nanoseconds
	 * @param peers the other live gateways
	 * @param nowNanos the current time, in nanoseconds
	 * @return the messages to send
	 */
	public List<Message> publishClearance(String digest, long completedAtNanos, Set<Peer> peers, long nowNanos) {
		return publish(new News(List.of(), List.of(new Clearance(digest, completedAtNanos))), peers, nowNanos);
	}

	private List<Message> publish(News news, Set<Peer> peers, long nowNanos) {
		this.recentNews.add(news);
		return toMessages(news, peers, nowNanos);
	}

	private static List<Message> toMessages(News news, Set<Peer> peers, long nowNanos) {
		CrashNotice notice = news.toNotice(nowNanos);
		return peers.stream().map((peer) -> new Message(peer.address(), notice)).toList();
	}

	/**
	 * Records the news of another gateway.
	 * @param notice the message
	 * @param nowNanos the current time, in nanoseconds
	 */
	public void receive(CrashNotice notice, long nowNanos) {
		for (org.radishthread.protocol.CrashRecord crash : notice.getCrashesList()) {
			this.history.record(new CrashRecord(crash.getDigest(), crash.getUpstream(), crash.getIncarnation(),
					crash.getAlone(), nowNanos - Duration.ofMillis(crash.getAgeMillis()).toNanos()), nowNanos);
		}
		for (CrashClearance clearance : notice.getClearancesList()) {
			this.history.clear(clearance.getDigest(), nowNanos - Duration.ofMillis(clearance.getAgeMillis()).toNanos());
		}
	}

	/**
	 * Performs the work that depends on time: repeats recent news, and sends the history
	 * to gateways that have not received it.
	 * @param peers the other live gateways
	 * @param nowNanos the current time, in nanoseconds
	 * @return the messages to send
	 */
	public List<Message> tick(Set<Peer> peers, long nowNanos) {
		List<Message> messages = new ArrayList<>();
		for (News news : this.recentNews) {
			messages.addAll(toMessages(news, peers, nowNanos));
			news.repetitions++;
		}
		this.recentNews.removeIf((news) -> news.repetitions >= REPETITIONS);
		Set<Peer> newPeers = new HashSet<>(peers);
		newPeers.removeAll(this.informedPeers);
		if (!newPeers.isEmpty()) {
			List<CrashRecord> crashes = this.history.crashes();
			for (int begin = 0; begin < crashes.size(); begin += MAXIMUM_CRASHES_PER_MESSAGE) {
				int end = Math.min(crashes.size(), begin + MAXIMUM_CRASHES_PER_MESSAGE);
				messages.addAll(toMessages(new News(crashes.subList(begin, end), List.of()), newPeers, nowNanos));
			}
		}
		this.informedPeers = new HashSet<>(peers);
		return messages;
	}

	/**
	 * Another gateway.
	 *
	 * @param address its peer address
	 * @param incarnation a number that grows with each start
	 */
	public record Peer(String address, long incarnation) {
	}

	/**
	 * A message to another gateway.
	 *
	 * @param address the peer address of the recipient
	 * @param notice the message
	 */
	public record Message(String address, CrashNotice notice) {
	}

	private record Clearance(String digest, long completedAtNanos) {
	}

	private static final class News {

		private final List<CrashRecord> crashes;

		private final List<Clearance> clearances;

		private int repetitions;

		private News(List<CrashRecord> crashes, List<Clearance> clearances) {
			this.crashes = crashes;
			this.clearances = clearances;
		}

		private CrashNotice toNotice(long nowNanos) {
			CrashNotice.Builder notice = CrashNotice.newBuilder();
			for (CrashRecord crash : this.crashes) {
				notice.addCrashes(org.radishthread.protocol.CrashRecord.newBuilder()
					.setDigest(crash.digest())
					.setUpstream(crash.upstream())
					.setIncarnation(crash.incarnation())
					.setAlone(crash.alone())
					.setAgeMillis(ageMillis(crash.crashedAtNanos(), nowNanos)));
			}
			for (Clearance clearance : this.clearances) {
				notice.addClearances(CrashClearance.newBuilder()
					.setDigest(clearance.digest())
					.setAgeMillis(ageMillis(clearance.completedAtNanos(), nowNanos)));
			}
			return notice.build();
		}

		private static long ageMillis(long atNanos, long nowNanos) {
			return Math.max(0, Duration.ofNanos(nowNanos - atNanos).toMillis());
		}

	}

}
