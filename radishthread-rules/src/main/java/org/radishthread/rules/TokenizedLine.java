package org.radishthread.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * A line of a rule file, split at white space into tokens.
 *
 * @param tokens the tokens in the order of the line
 * @param endColumn the column after the last character, counted from 1
 */
record TokenizedLine(List<Token> tokens, int endColumn) {

	static TokenizedLine tokenize(String text) {
		List<Token> tokens = new ArrayList<>();
		int position = 0;
		while (position < text.length()) {
			int start = skip(text, position, true);
			int end = skip(text, start, false);
			if (end > start) {
				tokens.add(new Token(text.substring(start, end), start + 1));
			}
			position = end;
		}
		return new TokenizedLine(tokens, text.length() + 1);
	}

	private static int skip(String text, int start, boolean whitespace) {
		int position = start;
		while (position < text.length() && Character.isWhitespace(text.charAt(position)) == whitespace) {
			position++;
		}
		return position;
	}

	boolean hasToken(int index) {
		return index < this.tokens.size();
	}

	String text(int index) {
		return this.tokens.get(index).text();
	}

	// Returns the end of the line for an index without a token, to place a finding there.
	int column(int index) {
		return hasToken(index) ? this.tokens.get(index).column() : this.endColumn;
	}

	int size() {
		return this.tokens.size();
	}

	record Token(String text, int column) {
	}

}
