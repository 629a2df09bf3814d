package org.radishthread.rules;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.radishthread.kernel.Finding;
import org.radishthread.kernel.FindingsException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for {@link IncrementalRuleParser}: whatever revisions it parsed before,
 * the rules or findings of a file are the same as those of {@link RuleParser}.
 */
class IncrementalRuleParserProperties {

	private static final String REQUESTER = "   # asked by anna";

	private static final List<String> LINES = List.of("service a queue=20" + REQUESTER,
			"service a queue=21 wait=2s" + REQUESTER, "service b" + REQUESTER, "service C.2 retries=5%" + REQUESTER,
			"callers header=8192b" + REQUESTER, "callers header=9000b idle=3s" + REQUESTER,
			"workspace one keys=00112233445566778899aabbccddeeff" + REQUESTER,
			"workspace two keys=00112233445566778899aabbccddeeff" + REQUESTER, "workspace one rate=3/s" + REQUESTER,
			"route a GET /a/** timeout=2s" + REQUESTER, "route a GET /a/** timeout=3s" + REQUESTER,
			"route a:1,b:2 GET /a/** timeout=2s" + REQUESTER, "route a:2,b:1 GET /a/** timeout=2s" + REQUESTER,
			"route b * /b/** host=one.example once" + REQUESTER, "route b * /b/** host=one.example open" + REQUESTER,
			"route a GET /a/** timeout=2s   # asked by tom", "route a GET /a/** timeout=2s" + REQUESTER + "\r", "",
			"# a comment", "   ");

	private static final List<String> INVALID_LINES = List.of("route a GET", "service a queue=x" + REQUESTER,
			"route a:0,b:0 GET /a" + REQUESTER, "revision 7" + REQUESTER, "route a GET /a");

	@Property(tries = 1_000, seed = "5", shrinking = ShrinkingMode.OFF)
	void successiveRevisionsGiveTheRulesOfTheWholeFile(@ForAll Random random) {
		IncrementalRuleParser parser = new IncrementalRuleParser();
		List<String> lines = new ArrayList<>();
		List<List<String>> formerRevisions = new ArrayList<>();
		for (int revision = 1; revision <= 30; revision++) {
			edit(lines, formerRevisions, random);
			formerRevisions.add(List.copyOf(lines));
			List<String> fileLines = new ArrayList<>(lines);
			fileLines.add(random.nextInt(fileLines.size() + 1), "revision " + revision + REQUESTER);
			if (random.nextInt(10) == 0) {
				fileLines.add(INVALID_LINES.get(random.nextInt(INVALID_LINES.size())));
			}
			String text = String.join("\n", fileLines);
			Outcome expected = Outcome.of(() -> RuleParser.parse("rules", text));
			assertThat(Outcome.of(() -> parser.parse("rules", text))).as(text).isEqualTo(expected);
		}
	}

	private static void edit(List<String> lines, List<List<String>> formerRevisions, Random random) {
		for (int edit = random.nextInt(5); edit >= 0; edit--) {
			int index = random.nextInt(lines.size() + 1);
			switch (random.nextInt(6)) {
				case 0, 1 -> lines.add(index, LINES.get(random.nextInt(LINES.size())));
				case 2 -> Collections.rotate(lines, index);
				case 3 -> Collections.shuffle(lines, random);
				case 4 -> {
					if (index < lines.size()) {
						lines.remove(index);
					}
				}
				default -> {
					if (!formerRevisions.isEmpty()) {
						lines.clear();
						lines.addAll(formerRevisions.get(random.nextInt(formerRevisions.size())));
					}
				}
			}
		}
	}

	/**
	 * Rules of a file, or its findings.
	 */
	private record Outcome(Optional<RuleSet> rules, List<Finding> findings) {

		private static Outcome of(Supplier<RuleSet> parse) {
			try {
				return new Outcome(Optional.of(parse.get()), List.of());
			}
			catch (FindingsException ex) {
				return new Outcome(Optional.empty(), ex.getFindings());
			}
		}

	}

}
