package org.radishthread.rules;

import org.radishthread.kernel.Assert;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the share in proportion to the weights of the other services; zero for no
 * requests
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		Assert.isTrue(weight >= 0 && Double.isFinite(weight), "Weight " + weight + " must be a number from 0.");
	}

}
