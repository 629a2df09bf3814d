package org.radishthread.daemon.http;

import org.eclipse.jetty.http.HttpField;

/**
 * Tells heads of requests that are larger than usual. The library keeps buffers of the
 * size of the longest text, and an array with a place for each field, for as long as a
 * connection is open, so a connection is closed after such a head. Heads that are served
 * may be far larger.
 */
public final class LargeHead {

	private static final int MAXIMUM_USUAL_FIELDS = 512;

	private static final int MAXIMUM_USUAL_TEXT_CHARACTERS = 4 * 1_024;

	private LargeHead() {
	}

	/**
	 * Returns whether a head is larger than usual.
	 * @param pathAndQuery the path and the query of the request
	 * @param fields the fields of the head
	 * @return whether it has more fields, or a longer text, than usual
	 */
	public static boolean isLarge(String pathAndQuery, Iterable<HttpField> fields) {
		boolean large = isLong(pathAndQuery);
		int count = 0;
		for (HttpField field : fields) {
			count++;
			large |= isLong(field);
		}
		return large || count > MAXIMUM_USUAL_FIELDS;
	}

	static boolean isLong(HttpField field) {
		return isLong(field.getName()) || isLong(field.getValue());
	}

	private static boolean isLong(String text) {
		return text != null && text.length() > MAXIMUM_USUAL_TEXT_CHARACTERS;
	}

}
