package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.membership.ServingState;

/**
 * Reports to the load balancer of the platform whether this instance is ready. Responds
 * alike to all paths, on a port of its own.
 */
public final class ReadinessHandler extends Handler.Abstract.NonBlocking {

	private final ClusterService cluster;

	public ReadinessHandler(ClusterService cluster) {
		this.cluster = cluster;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		// Without rules an instance refuses every request.
		boolean ready = this.cluster.servingState() == ServingState.READY && this.cluster.view().hasRules();
		response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
		callback.succeeded();
		return true;
	}

}
