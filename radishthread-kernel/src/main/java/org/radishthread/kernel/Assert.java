package org.radishthread.kernel;

import org.jspecify.annotations.Nullable;

/**
 * Checks arguments and state, and fails with a full sentence.
 */
public final class Assert {

	private Assert() {
	}

	/**
	 * Checks that an argument satisfies a condition.
	 * @param condition the condition
	 * @param message the sentence to fail with
	 * @throws IllegalArgumentException if the condition is false
	 */
	public static void isTrue(boolean condition, String message) {
		if (!condition) {
			throw new IllegalArgumentException(message);
		}
	}

	/**
	 * Checks that an argument contains a character other than white space.
	 * @param text the text to check
	 * @param message the sentence to fail with
	 * @throws IllegalArgumentException if the text is {@code null} or blank
	 */
	public static void hasText(@Nullable String text, String message) {
		isTrue(text != null && !text.isBlank(), message);
	}

	/**
	 * Checks an invariant of the caller.
	 * @param condition the condition
	 * @param message the sentence to fail with
	 * @throws IllegalStateException if the condition is false
	 */
	public static void state(boolean condition, String message) {
		if (!condition) {
			throw new IllegalStateException(message);
		}
	}

}
