package org.radishthread.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.Kernel;

/**
 * The Dagger component that creates the services of the daemon.
 */
@Singleton
@Component(modules = DaemonModule.class)
interface DaemonComponent {

	Kernel kernel();

	ClusterService cluster();

	/**
	 * Creates the component for an instance.
	 */
	@Component.Factory
	interface Factory {

		DaemonComponent create(@BindsInstance DaemonSettings settings);

	}

}
