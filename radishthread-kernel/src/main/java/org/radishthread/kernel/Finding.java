package org.radishthread.kernel;

/**
 * Describes an error in an input and its location.
 *
 * @param source the name of the file or input
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 * @param path the path of the element, such as {@code listen.caller}, or an empty string
 * @param message what is wrong and how to correct it
 */
public record Finding(String source, int line, int column, String path, String message) {

	public Finding {
		Assert.hasText(source, "Source of a finding must not be empty.");
		Assert.hasText(message, "Message of a finding must not be empty.");
	}

	@Override
	public String toString() {
		String location = this.source + ":" + this.line + ":" + this.column;
		return this.path.isEmpty() ? location + ": " + this.message : location + ": " + this.path + ": " + this.message;
	}

}
