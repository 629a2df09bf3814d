package org.radishthread.membership;

import org.radishthread.protocol.RuleFile;

/**
 * How the applied rules reached this instance.
 *
 * @param form the form in which a peer sent them, or {@link Form#LOCAL}
 * @param bytes the size of the message in bytes, or zero for {@link Form#LOCAL}
 * @param refusedCount the number of received rule files that could not be decoded since
 * this process started
 */
public record RuleTransfer(Form form, int bytes, long refusedCount) {

	/**
	 * Form of a rule file in a message.
	 */
	public enum Form {

		/**
		 * Not sent by a peer, but committed by the replica of this instance, or read from
		 * the control group.
		 */
		LOCAL,

		/**
		 * As plain text.
		 */
		PLAIN,

		/**
		 * Whole and compressed.
		 */
		COMPRESSED,

		/**
		 * As the difference from another revision.
		 */
		DIFFERENCE;

		static Form of(RuleFile file) {
			if (file.hasDifference()) {
				return DIFFERENCE;
			}
			return file.getCompressedContent().isEmpty() ? PLAIN : COMPRESSED;
		}

	}

}
