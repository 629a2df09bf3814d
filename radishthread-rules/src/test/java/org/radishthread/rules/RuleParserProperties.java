package org.radishthread.rules;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import org.radishthread.kernel.FindingsException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for {@link RuleParser} with malformed files: the parser accepts a file
 * or reports findings whose lines exist in it, and throws nothing else.
 */
class RuleParserProperties {

	@Property(tries = 3_000, seed = "31", shrinking = ShrinkingMode.OFF)
	void malformedFilesGiveFindingsWithinTheFile(@ForAll("files") String file) {
		try {
			assertThat(RuleParser.parse("fuzzed", file).revision()).isPositive();
		}
		catch (FindingsException ex) {
			int lines = file.split("\r?\n", -1).length;
			assertThat(ex.getFindings()).isNotEmpty()
				.allSatisfy((finding) -> assertThat(finding.line()).isBetween(1, lines))
				.allSatisfy((finding) -> assertThat(finding.column()).isPositive());
		}
	}

	@Provide
	Arbitrary<String> files() {
		Arbitrary<String> tokens = Arbitraries.of("revision", "7", "service", "route", "swapdesk", "GET", "*", "/a/**",
				"/", "/*", "**", "once", "upload", "timeout=2s", "timeout=", "queue=1", "wait=0ms", "=", "#",
				"# asked by x", "# asked by", "\t", "", "\u00e9", "queue=99999999999", "caller-share=%");
		Arbitrary<String> lines = tokens.list().ofMaxSize(8).map((list) -> String.join(" ", list));
		Arbitrary<String> valid = Arbitraries.of("revision 3 # asked by x", "route a GET /** # asked by x",
				"service a # asked by x");
		return Arbitraries.oneOf(lines, valid, Arbitraries.strings().ofMaxLength(40))
			.list()
			.ofMaxSize(8)
			.map((List<String> list) -> String.join("\n", list));
	}

}
