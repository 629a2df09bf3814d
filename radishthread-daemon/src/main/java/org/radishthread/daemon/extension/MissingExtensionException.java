package org.radishthread.daemon.extension;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when the settings select an extension that is not on the class path.
 */
public class MissingExtensionException extends RadishthreadException {

	public MissingExtensionException(String name) {
		super("Extension '" + name + "' is not on the class path.");
	}

}
