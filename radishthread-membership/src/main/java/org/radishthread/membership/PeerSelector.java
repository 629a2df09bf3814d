package org.radishthread.membership;

import java.util.List;

/**
 * Selects peers at random.
 */
@FunctionalInterface
public interface PeerSelector {

	/**
	 * Selects distinct addresses at random.
	 * @param addresses the peer addresses to select from
	 * @param maximumCount the number of addresses to select, if there are as many
	 * @return the selected addresses
	 */
	List<String> select(List<String> addresses, int maximumCount);

}
