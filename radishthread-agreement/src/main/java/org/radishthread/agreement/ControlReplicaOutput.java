package org.radishthread.agreement;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.RuleFile;

/**
 * Carries out the effects of a {@link ControlReplica} other than storage.
 */
public interface ControlReplicaOutput {

	/**
	 * Sends a message to another replica; it may be lost, late or doubled.
	 * @param message the message, addressed by replica identity
	 */
	void send(AgreementMessage message);

	/**
	 * Answers a request.
	 * @param origin who asked, as given with the request
	 * @param response the answer
	 */
	void reply(String origin, ControlResponse response);

	/**
	 * Tells that a committed rule file was applied.
	 * @param rules the rules
	 */
	void publishRules(RuleFile rules);

}
