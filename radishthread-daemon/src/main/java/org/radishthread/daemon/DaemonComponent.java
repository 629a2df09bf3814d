package org.radishthread.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.Kernel;

/**
 * Wires the daemon.
 */
@Singleton
@Component(modules = DaemonModule.class)
interface DaemonComponent {

	Kernel kernel();

	ClusterService cluster();

	/**
	 * Creates the component.
	 */
	@Component.Factory
	interface Factory {

		DaemonComponent create(@BindsInstance DaemonSettings settings);

	}

}
