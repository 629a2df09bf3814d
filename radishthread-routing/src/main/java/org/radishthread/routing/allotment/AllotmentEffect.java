package org.radishthread.routing.allotment;

import org.radishthread.protocol.AllotmentMessage;
import org.radishthread.routing.RefusalReason;

/**
 * An action that an {@link AllotmentBorrower} or an {@link AllotmentLender} has decided
 * on and that its user carries out.
 */
public sealed interface AllotmentEffect {

	/**
	 * Sends a message to another instance, or to this one.
	 *
	 * @param address the peer address of the recipient
	 * @param message the message
	 */
	record Send(String address, AllotmentMessage message) implements AllotmentEffect {
	}

	/**
	 * Admits a request within the allotment of its workspace.
	 *
	 * @param requestId the identifier of the request
	 */
	record Granted(long requestId) implements AllotmentEffect {
	}

	/**
	 * Refuses a request because of the allotment of its workspace.
	 *
	 * @param requestId the identifier of the request
	 * @param workspace the name of the workspace
	 * @param reason the reason
	 * @param retryAfterMillis the time after which a token is expected, in milliseconds
	 */
	record Refused(long requestId, String workspace, RefusalReason reason,
			long retryAfterMillis) implements AllotmentEffect {
	}

	/**
	 * Reports that this instance starts or stops to refuse requests of a workspace.
	 *
	 * @param workspace the name of the workspace
	 * @param limited whether requests are refused
	 * @param requestsPerSecond the allotment of the workspace over all instances
	 * @param demandPerSecond the recent requests per second at this instance, refused
	 * ones included
	 * @param lenderAddress the peer address of the lender
	 */
	record LimitChanged(String workspace, boolean limited, double requestsPerSecond, double demandPerSecond,
			String lenderAddress) implements AllotmentEffect {
	}

}
