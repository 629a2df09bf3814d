package org.radishthread.kernel;

/**
 * Describes one defect of an input and the place where it stands.
 *
 * @param source the file or input that was read
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 * @param path the element concerned, such as {@code listen.caller}, or an empty text
 * @param message what is wrong and what to do
 */
public record Finding(String source, int line, int column, String path, String message) {

	public Finding {
		Assert.hasText(source, "Source of a finding must not be empty.");
		Assert.hasText(message, "Message of a finding must not be empty.");
	}

	@Override
	public String toString() {
		String place = this.source + ":" + this.line + ":" + this.column;
		return this.path.isEmpty() ? place + ": " + this.message : place + ": " + this.path + ": " + this.message;
	}

}
