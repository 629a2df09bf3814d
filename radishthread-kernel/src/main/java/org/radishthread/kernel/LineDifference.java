package org.radishthread.kernel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between two texts: the blocks of which the second one consists, each
 * taken from the first one or given in full. Lines end with a line feed; all other
 * characters, carriage returns included, are part of a line.
 *
 * @param blocks the blocks in the order of the second text
 */
public record LineDifference(List<Block> blocks) {

	// Bounds the time for texts that repeat the same line.
	private static final int MAXIMUM_CANDIDATES = 16;

	/**
	 * Computes the difference between two texts. The time grows with the sum of their
	 * lengths. A block that moved is taken from its former place.
	 * @param base the first text
	 * @param target the second text
	 * @return the difference
	 */
	public static LineDifference between(String base, String target) {
		String[] baseLines = split(base);
		String[] targetLines = split(target);
		Map<String, List<Integer>> baseIndexes = new HashMap<>();
		for (int i = 0; i < baseLines.length; i++) {
			List<Integer> indexes = baseIndexes.computeIfAbsent(baseLines[i], (line) -> new ArrayList<>(1));
			if (indexes.size() < MAXIMUM_CANDIDATES) {
				indexes.add(i);
			}
		}
		List<Block> blocks = new ArrayList<>();
		List<String> insertedLines = new ArrayList<>();
		int position = 0;
		int expectedIndex = 0;
		while (position < targetLines.length) {
			Block.Copy copy = findLongest(baseLines, targetLines, position, expectedIndex,
					baseIndexes.getOrDefault(targetLines[position], List.of()));
			if (copy.lineCount() == 0) {
				insertedLines.add(targetLines[position]);
				position++;
				// A changed line mostly takes the place of one line.
				expectedIndex++;
				continue;
			}
			addInserted(blocks, insertedLines);
			blocks.add(copy);
			position += copy.lineCount();
			expectedIndex = copy.firstLine() + copy.lineCount();
		}
		addInserted(blocks, insertedLines);
		return new LineDifference(List.copyOf(blocks));
	}

	private static String[] split(String text) {
		return text.split("\n", -1);
	}

	private static Block.Copy findLongest(String[] baseLines, String[] targetLines, int position, int expectedIndex,
			List<Integer> candidates) {
		Block.Copy longest = new Block.Copy(expectedIndex, countEqual(baseLines, expectedIndex, targetLines, position));
		for (int candidate : candidates) {
			int count = countEqual(baseLines, candidate, targetLines, position);
			if (count > longest.lineCount()) {
				longest = new Block.Copy(candidate, count);
			}
		}
		return longest;
	}

	private static int countEqual(String[] baseLines, int baseIndex, String[] targetLines, int position) {
		int count = 0;
		while (baseIndex + count < baseLines.length && position + count < targetLines.length
				&& baseLines[baseIndex + count].equals(targetLines[position + count])) {
			count++;
		}
		return count;
	}

	private static void addInserted(List<Block> blocks, List<String> insertedLines) {
		if (!insertedLines.isEmpty()) {
			blocks.add(new Block.Insertion(String.join("\n", insertedLines)));
			insertedLines.clear();
		}
	}

	/**
	 * Applies this difference to the first text.
	 * @param base the first text
	 * @return the second text
	 * @throws IllegalArgumentException if a block is not within the text, so that this
	 * difference belongs to another one
	 */
	public String applyTo(String base) {
		String[] baseLines = split(base);
		StringBuilder target = new StringBuilder(base.length());
		for (int i = 0; i < this.blocks.size(); i++) {
			if (i > 0) {
				target.append('\n');
			}
			this.blocks.get(i).appendTo(target, baseLines);
		}
		return target.toString();
	}

	/**
	 * One or more successive lines of the second text.
	 */
	public sealed interface Block {

		/**
		 * Appends the lines of this block, separated by line feeds.
		 * @param target receives the lines
		 * @param baseLines the lines of the first text
		 */
		void appendTo(StringBuilder target, String[] baseLines);

		/**
		 * Lines of the first text.
		 *
		 * @param firstLine the index of the first line, counted from 0
		 * @param lineCount the number of lines
		 */
		record Copy(int firstLine, int lineCount) implements Block {

			@Override
			public void appendTo(StringBuilder target, String[] baseLines) {
				Assert.isTrue(
						this.firstLine >= 0 && this.lineCount > 0
								&& this.lineCount <= baseLines.length - this.firstLine,
						"Block of " + this.lineCount + " lines from line " + this.firstLine
								+ " is not within the text of " + baseLines.length + " lines.");
				for (int i = this.firstLine; i < this.firstLine + this.lineCount; i++) {
					if (i > this.firstLine) {
						target.append('\n');
					}
					target.append(baseLines[i]);
				}
			}

		}

		/**
		 * Lines that are given in full.
		 *
		 * @param text the lines, without the line feed of the last one
		 */
		record Insertion(String text) implements Block {

			@Override
			public void appendTo(StringBuilder target, String[] baseLines) {
				target.append(this.text);
			}

		}

	}

}
