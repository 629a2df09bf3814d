package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for {@link RuleExchange}: whatever messages are lost, delayed, repeated
 * or damaged, an instance holds the exact content of the revision that it reports, and
 * the newest one once messages pass.
 */
class RuleExchangeProperties {

	private static final long RULES_APPLY_MILLIS = 2_000;

	@Property(tries = 500, seed = "5", shrinking = ShrinkingMode.OFF)
	void contentIsThatOfTheReportedRevision(@ForAll Random random) {
		List<String> lines = new ArrayList<>(List.of("a", "b", "c", "", "d\r"));
		Map<Long, String> contents = new HashMap<>();
		contents.put(0L, "");
		// The second source retains no former revisions, the third one reads the first.
		List<RuleExchange> exchanges = List.of(new RuleExchange(true, RULES_APPLY_MILLIS),
				new RuleExchange(false, RULES_APPLY_MILLIS), new RuleExchange(true, RULES_APPLY_MILLIS),
				new RuleExchange(true, RULES_APPLY_MILLIS));
		List<Message> messages = new ArrayList<>();
		long revision = 0;
		long nowMillis = 0;
		for (int step = 0; step < 200; step++) {
			nowMillis += random.nextInt(600);
			if (random.nextInt(4) == 0) {
				revision += 1 + random.nextInt(3);
				contents.put(revision, edit(lines, random));
				RuleFile file = RuleFile.newBuilder().setRevision(revision).setContent(contents.get(revision)).build();
				exchanges.get(random.nextInt(2)).offer(file, nowMillis);
			}
			RuleExchange sender = exchanges.get(random.nextInt(exchanges.size()));
			RuleExchange receiver = exchanges.get(random.nextInt(exchanges.size()));
			request(receiver, sender, nowMillis).ifPresent((file) -> messages.add(new Message(receiver, file)));
			for (int delivered = random.nextInt(3); delivered > 0 && !messages.isEmpty(); delivered--) {
				deliver(messages, random, nowMillis);
			}
			exchanges.forEach((exchange) -> assertThat(exchange.ruleFile().getContent())
				.isEqualTo(contents.get(exchange.revision())));
		}
		synchronize(exchanges, revision, nowMillis);
		assertThat(exchanges).allSatisfy((exchange) -> assertThat(exchange.ruleFile().getContent())
			.isEqualTo(contents.get(exchange.revision())));
	}

	private static Optional<RuleFile> request(RuleExchange receiver, RuleExchange sender, long nowMillis) {
		Optional<RuleRequest> request = receiver.createRequest("sender", sender.revision(), false, nowMillis);
		return request.flatMap(sender::respond);
	}

	// Delivers any message, and now and then drops, repeats or damages it.
	private static void deliver(List<Message> messages, Random random, long nowMillis) {
		Message message = messages.get(random.nextInt(messages.size()));
		int fate = random.nextInt(10);
		if (fate > 0) {
			messages.remove(message);
		}
		if (fate == 1) {
			return;
		}
		RuleFile file = message.file();
		if (fate == 2 && file.hasDifference()) {
			ByteString compressedLines = file.getDifference().getCompressedLines();
			file = file.toBuilder()
				.setDifference(file.getDifference()
					.toBuilder()
					.setCompressedLines(compressedLines.substring(random.nextInt(compressedLines.size()))))
				.build();
		}
		message.receiver().receive(file, nowMillis);
	}

	// Without losses, every instance reaches the newest revision that any of them has.
	private static void synchronize(List<RuleExchange> exchanges, long newestRevision, long startMillis) {
		RuleExchange newest = exchanges.stream()
			.filter((exchange) -> exchange.revision() == newestRevision)
			.findFirst()
			.orElse(exchanges.get(0));
		long nowMillis = startMillis;
		for (int round = 0; round < 10; round++) {
			nowMillis += RULES_APPLY_MILLIS;
			for (RuleExchange exchange : exchanges) {
				Optional<RuleFile> file = request(exchange, newest, nowMillis);
				if (file.isPresent()) {
					exchange.receive(file.get(), nowMillis);
				}
			}
		}
		assertThat(exchanges)
			.allSatisfy((exchange) -> assertThat(exchange.revision()).isGreaterThanOrEqualTo(newest.revision()));
	}

	private static String edit(List<String> lines, Random random) {
		for (int edit = random.nextInt(4); edit >= 0; edit--) {
			int index = random.nextInt(lines.size());
			switch (random.nextInt(5)) {
				case 0 -> lines.set(index, "changed " + random.nextInt(9));
				case 1 -> lines.add(index, "added " + random.nextInt(9));
				case 2 -> lines.add(index, lines.get(random.nextInt(lines.size())));
				case 3 -> Collections.rotate(lines, index);
				default -> lines.set(index, "");
			}
		}
		return String.join("\n", lines);
	}

	/**
	 * Rules on their way to an instance.
	 */
	private record Message(RuleExchange receiver, RuleFile file) {
	}

}
