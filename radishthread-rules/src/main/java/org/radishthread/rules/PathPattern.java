package org.radishthread.rules;

import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Matches request paths by segments: {@code *} stands for one segment and a final
 * {@code **} for any number of segments.
 *
 * @param text the pattern as written
 */
public record PathPattern(String text) {

	private static final String ANY_SEGMENT = "*";

	private static final String ANY_SEGMENTS = "**";

	public PathPattern {
		Assert.isTrue(text.startsWith("/"), "Path pattern '" + text + "' must start with a slash.");
		int wildcard = text.indexOf(ANY_SEGMENTS);
		boolean last = wildcard < 0 || (wildcard == text.length() - 2 && text.charAt(wildcard - 1) == '/');
		Assert.isTrue(last, "Path pattern '" + text + "' must have '**' only as its last segment.");
	}

	/**
	 * Matches a path.
	 * @param path the path of a request, without the query
	 * @return whether the whole path matches
	 */
	public boolean matches(String path) {
		List<String> expected = List.of(this.text.substring(1).split("/", -1));
		List<String> actual = List.of(path.startsWith("/") ? path.substring(1).split("/", -1) : new String[] { path });
		for (int i = 0; i < expected.size(); i++) {
			if (expected.get(i).equals(ANY_SEGMENTS)) {
				return true;
			}
			if (i >= actual.size() || !segmentMatches(expected.get(i), actual.get(i))) {
				return false;
			}
		}
		return expected.size() == actual.size();
	}

	boolean isPrefix() {
		return this.text.endsWith("/" + ANY_SEGMENTS);
	}

	// The text before the final wildcard.
	String prefix() {
		return isPrefix() ? this.text.substring(0, this.text.length() - ANY_SEGMENTS.length()) : this.text;
	}

	private static boolean segmentMatches(String expected, String actual) {
		return expected.equals(ANY_SEGMENT) || expected.equals(actual);
	}

}
