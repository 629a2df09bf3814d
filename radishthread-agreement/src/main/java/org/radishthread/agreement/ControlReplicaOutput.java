package org.radishthread.agreement;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.RuleFile;

/**
 * Receives the output of a {@link ControlReplica} other than log writes.
 */
public interface ControlReplicaOutput {

	/**
	 * Sends a message to another replica. Messages may be lost, delayed or duplicated.
	 * @param message the message, addressed by replica id
	 */
	void send(AgreementMessage message);

	/**
	 * Sends the response to a request.
	 * @param requester the requester that was passed in with the request
	 * @param response the response
	 */
	void reply(String requester, ControlResponse response);

	/**
	 * Publishes a committed rule file after it was applied.
	 * @param rules the rule file that is now in force
	 */
	void publishRules(RuleFile rules);

	/**
	 * Publishes the committed evacuations of availability zones after an order was
	 * applied.
	 * @param evacuations the evacuations that are now in force
	 */
	void publishEvacuations(Evacuations evacuations);

	/**
	 * Notifies that a write to the log failed, so that the replica was closed.
	 * @param failure the failure of the write, or of an attempt to open the log again
	 * @param retryMillis the time until the log is opened again, in milliseconds
	 */
	void logClosed(AgreementException failure, long retryMillis);

	/**
	 * Notifies that the log was opened again after a failed write, and that the replica
	 * is a follower of its group with what was stored.
	 */
	void logReopened();

}
