package org.radishthread.kernel;

import org.jspecify.annotations.Nullable;

/**
 * Checks arguments and state, and throws an exception if a check fails.
 */
public final class Assert {

	private Assert() {
	}

	/**
	 * Checks that an argument satisfies a condition.
	 * @param condition the condition
	 * @param message the message of the exception, a full sentence
	 * @throws IllegalArgumentException if the condition is false
	 */
	public static void isTrue(boolean condition, String message) {
		if (!condition) {
			throw new IllegalArgumentException(message);
		}
	}

	/**
	 * Checks that an argument contains a character other than whitespace.
	 * @param text the text to check, or {@code null}
	 * @param message the message of the exception, a full sentence
	 * @throws IllegalArgumentException if the text is {@code null} or blank
	 */
	public static void hasText(@Nullable String text, String message) {
		isTrue(text != null && !text.isBlank(), message);
	}

	/**
	 * Checks that an object is in the state that an operation requires.
	 * @param condition the condition
	 * @param message the message of the exception, a full sentence
	 * @throws IllegalStateException if the condition is false
	 */
	public static void state(boolean condition, String message) {
		if (!condition) {
			throw new IllegalStateException(message);
		}
	}

}
