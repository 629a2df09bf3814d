package org.radishthread.daemon.administration;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.Service;

/**
 * Listens for operators, upstreams, health checks and scrapers of metrics.
 */
public final class AdministrationServer implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "administration";

	private static final int THREADS = 8;

	private final DaemonSettings settings;

	private final Server server;

	public AdministrationServer(DaemonSettings settings, ClusterService cluster, ControlClient control,
			RuleOperations ruleOperations, PrometheusMeterRegistry meters) {
		this.settings = settings;
		QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
		threads.setName("administration");
		threads.setDaemon(true);
		this.server = new Server(threads);
		ServerConnector connector = new ServerConnector(this.server, 1, 1);
		connector.setHost(settings.administrationAddress().host());
		connector.setPort(settings.administrationAddress().port());
		this.server.addConnector(connector);
		this.server.setHandler(new AdministrationHandler(settings.secrets(), cluster,
				new OperatorRequests(cluster, control, ruleOperations), new AnnouncementRequests(cluster), meters));
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		try {
			this.server.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException(
					"Port " + this.settings.administrationAddress() + " for operators can not be opened.", ex);
		}
	}

	@Override
	public void stop() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("The port for operators can not be closed.", ex);
		}
	}

}
