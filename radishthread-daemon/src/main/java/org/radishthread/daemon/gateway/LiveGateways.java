package org.radishthread.daemon.gateway;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.ServingState;

/**
 * What a home needs to know of the cluster to grant slots to other gateways.
 */
interface LiveGateways {

	/**
	 * The incarnation of an instance that is not live.
	 */
	long NOT_LIVE = 0;

	/**
	 * Returns whether this instance may act as a home.
	 * @return whether it grants slots
	 */
	boolean mayGrant();

	/**
	 * Returns the incarnation of a gateway, which increases with each start.
	 * @param peerAddress the peer address of the gateway
	 * @return the incarnation, or {@link #NOT_LIVE}
	 */
	long incarnation(String peerAddress);

	/**
	 * Returns the gateways that a cluster service knows.
	 * @param cluster the cluster service
	 * @return the gateways
	 */
	static LiveGateways of(ClusterService cluster) {
		return new LiveGateways() {

			@Override
			public boolean mayGrant() {
				return cluster.servingState() == ServingState.READY;
			}

			@Override
			public long incarnation(String peerAddress) {
				return cluster.view()
					.instances()
					.stream()
					.filter(InstanceView::live)
					.map(InstanceView::instance)
					.filter((instance) -> instance.getPeerAddress().equals(peerAddress))
					.mapToLong((instance) -> instance.getIncarnation())
					.max()
					.orElse(NOT_LIVE);
			}

		};
	}

}
