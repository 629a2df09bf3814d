package org.radishthread.kernel;

import java.util.regex.Pattern;

/**
 * Format of the names of upstream services, in rules and in the announcements of
 * upstreams: 1 to 128 letters, digits, {@code '.'}, {@code '_'} and {@code '-'}, the
 * first one a letter or digit. Names are case-sensitive.
 */
public final class ServiceName {

	/**
	 * The regular expression of the names.
	 */
	public static final String REGULAR_EXPRESSION = "[A-Za-z0-9][A-Za-z0-9._-]{0,127}";

	private static final Pattern pattern = Pattern.compile(REGULAR_EXPRESSION);

	private ServiceName() {
	}

	/**
	 * Returns whether a text has the format of a name.
	 * @param text the text
	 * @return whether it is a name
	 */
	public static boolean isValid(String text) {
		return pattern.matcher(text).matches();
	}

}
