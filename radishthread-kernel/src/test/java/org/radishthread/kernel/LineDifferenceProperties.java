package org.radishthread.kernel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Property tests for {@link LineDifference}.
 */
class LineDifferenceProperties {

	@Property(tries = 2_000)
	void differenceOfUnrelatedTextsRestoresTheSecondOne(@ForAll("texts") String base, @ForAll("texts") String target) {
		assertThat(LineDifference.between(base, target).applyTo(base)).isEqualTo(target);
	}

	@Property(tries = 500)
	void differenceOfAnEditedTextRestoresIt(@ForAll("texts") String base, @ForAll Random random) {
		List<String> lines = new ArrayList<>(List.of(base.split("\n", -1)));
		for (int edit = random.nextInt(6); edit > 0; edit--) {
			int index = random.nextInt(lines.size());
			switch (random.nextInt(5)) {
				case 0 -> lines.set(index, "changed " + edit);
				case 1 -> lines.add(index, "added " + edit);
				case 2 -> lines.add(index, lines.get(random.nextInt(lines.size())));
				case 3 -> Collections.rotate(lines, index);
				default -> lines.remove(index);
			}
			if (lines.isEmpty()) {
				lines.add("");
			}
		}
		String target = String.join("\n", lines);
		assertThat(LineDifference.between(base, target).applyTo(base)).isEqualTo(target);
	}

	@Example
	void blocksBeyondTheEndOfAnotherTextAreRefused() {
		LineDifference difference = LineDifference.between("a\nb\nc\nd", "a\nb\nx\nd");
		assertThatIllegalArgumentException().isThrownBy(() -> difference.applyTo("a\nb"));
	}

	@Example
	void oneChangedLineTakesThreeBlocks() {
		assertThat(LineDifference.between("a\nb\nc", "a\nx\nc").blocks()).containsExactly(
				new LineDifference.Block.Copy(0, 1), new LineDifference.Block.Insertion("x"),
				new LineDifference.Block.Copy(2, 1));
	}

	@Example
	void movedLinesAreTakenFromTheirFormerPlace() {
		assertThat(LineDifference.between("a\nb\nc\nd", "c\nd\na\nb").blocks())
			.containsExactly(new LineDifference.Block.Copy(2, 2), new LineDifference.Block.Copy(0, 2));
	}

	@Provide
	Arbitrary<String> texts() {
		return Arbitraries.of("", "a", "b", "c", "route x", "route x\r", "\u00e9")
			.list()
			.ofMaxSize(40)
			.map((lines) -> String.join("\n", lines));
	}

}
