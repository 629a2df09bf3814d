package org.radishthread.rules;

import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Pattern that matches request paths segment by segment: {@code *} matches exactly one
 * segment and a final {@code **} any number of segments, including none.
 *
 * @param text the pattern as written in the rule file
 */
public record PathPattern(String text) {

	private static final String SINGLE_SEGMENT_WILDCARD = "*";

	private static final String MULTI_SEGMENT_WILDCARD = "**";

	public PathPattern {
		Assert.isTrue(text.startsWith("/"), "Path pattern '" + text + "' must start with a slash.");
		int wildcard = text.indexOf(MULTI_SEGMENT_WILDCARD);
		boolean absentOrLast = wildcard < 0 || (wildcard == text.length() - 2 && text.charAt(wildcard - 1) == '/');
		Assert.isTrue(absentOrLast, "Path pattern '" + text + "' must have '**' only as its last segment.");
	}

	/**
	 * Matches the given path.
	 * @param path the path of a request, without the query
	 * @return whether the whole path matches
	 */
	public boolean matches(String path) {
		List<String> patternSegments = List.of(this.text.substring(1).split("/", -1));
		List<String> pathSegments = List
			.of(path.startsWith("/") ? path.substring(1).split("/", -1) : new String[] { path });
		for (int i = 0; i < patternSegments.size(); i++) {
			if (patternSegments.get(i).equals(MULTI_SEGMENT_WILDCARD)) {
				return true;
			}
			if (i >= pathSegments.size() || !segmentMatches(patternSegments.get(i), pathSegments.get(i))) {
				return false;
			}
		}
		return patternSegments.size() == pathSegments.size();
	}

	boolean isPrefix() {
		return this.text.endsWith("/" + MULTI_SEGMENT_WILDCARD);
	}

	// Returns the text before a final '**', or the whole pattern if there is none.
	String prefix() {
		return isPrefix() ? this.text.substring(0, this.text.length() - MULTI_SEGMENT_WILDCARD.length()) : this.text;
	}

	private static boolean segmentMatches(String patternSegment, String pathSegment) {
		return patternSegment.equals(SINGLE_SEGMENT_WILDCARD) || patternSegment.equals(pathSegment);
	}

}
