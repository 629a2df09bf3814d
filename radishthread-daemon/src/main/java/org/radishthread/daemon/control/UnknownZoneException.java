package org.radishthread.daemon.control;

import java.util.Collection;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown if an order names an availability zone in which no instance or upstream is
 * known.
 */
public final class UnknownZoneException extends RadishthreadException {

	UnknownZoneException(String zone, Collection<String> knownZones) {
		super("Zone '" + zone + "' is not known; expected one of " + String.join(", ", knownZones) + ".");
	}

}
