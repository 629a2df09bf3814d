package org.radishthread.membership;

import java.util.List;

/**
 * Chooses peers at random.
 */
@FunctionalInterface
public interface PeerSelector {

	/**
	 * Chooses distinct elements.
	 * @param addresses the peer addresses to choose from
	 * @param count how many are wanted
	 * @return at most that many of the addresses
	 */
	List<String> choose(List<String> addresses, int count);

}
