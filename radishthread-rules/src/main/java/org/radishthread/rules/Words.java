package org.radishthread.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a rule line into words with their columns.
 */
record Words(List<Word> words, int endColumn) {

	static Words split(String text) {
		List<Word> words = new ArrayList<>();
		int position = 0;
		while (position < text.length()) {
			int start = skip(text, position, true);
			int end = skip(text, start, false);
			if (end > start) {
				words.add(new Word(text.substring(start, end), start + 1));
			}
			position = end;
		}
		return new Words(words, text.length() + 1);
	}

	private static int skip(String text, int from, boolean whitespace) {
		int position = from;
		while (position < text.length() && Character.isWhitespace(text.charAt(position)) == whitespace) {
			position++;
		}
		return position;
	}

	boolean has(int index) {
		return index < this.words.size();
	}

	String text(int index) {
		return this.words.get(index).text();
	}

	int column(int index) {
		return has(index) ? this.words.get(index).column() : this.endColumn;
	}

	int size() {
		return this.words.size();
	}

	record Word(String text, int column) {
	}

}
