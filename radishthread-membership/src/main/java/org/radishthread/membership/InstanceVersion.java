package org.radishthread.membership;

import org.radishthread.protocol.InstanceRecord;

/**
 * Hashes the versions of instance records. The version of a record is the name and the
 * incarnation of its instance.
 */
final class InstanceVersion {

	private InstanceVersion() {
	}

	static int of(InstanceRecord instance) {
		return NameHash.of(instance.getName() + '/' + instance.getIncarnation());
	}

	// Sums of the digests of different sets rarely agree.
	static long digest(int version) {
		return NameHash.mix(version);
	}

}
