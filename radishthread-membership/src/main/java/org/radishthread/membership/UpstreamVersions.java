package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.protocol.Version;

/**
 * Compares the upstream records of two instances. A digest, a hash over the versions of
 * all upstreams that have not left, shows whether they differ; the versions show in which
 * records. The version of a record is its incarnation and sequence.
 */
final class UpstreamVersions {

	// Exceeds the numbers of all states.
	private static final long COLD_STATE_CODE = 64;

	private UpstreamVersions() {
	}

	static long digest(Collection<UpstreamTable.Entry> entries) {
		return digest(entries, UpstreamRecord::getSequence);
	}

	// A digest that does not change when only the holder of a lease does.
	static long stateDigest(Collection<UpstreamTable.Entry> entries) {
		return digest(entries, UpstreamVersions::stateCode);
	}

	private static long stateCode(UpstreamRecord upstream) {
		return upstream.getStateValue() + ((upstream.getColdMillis() > 0) ? COLD_STATE_CODE : 0);
	}

	private static long digest(Collection<UpstreamTable.Entry> entries, ToLongFunction<UpstreamRecord> lastPart) {
		long digest = 0;
		for (UpstreamTable.Entry entry : entries) {
			UpstreamRecord upstream = entry.upstream;
			if (upstream.getState() != UpstreamState.LEFT) {
				digest ^= mix(NameHash.of(upstream.getName()), upstream.getIncarnation(),
						lastPart.applyAsLong(upstream));
			}
		}
		return digest;
	}

	private static long mix(long nameHash, long incarnation, long sequence) {
		return NameHash.mix(nameHash ^ Long.rotateLeft(incarnation, 32) ^ (sequence * 0x9E3779B97F4A7C15L));
	}

	static List<Version> toVersions(Collection<UpstreamTable.Entry> entries) {
		List<Version> versions = new ArrayList<>();
		for (UpstreamTable.Entry entry : entries) {
			versions.add(Version.newBuilder()
				.setName(NameHash.of(entry.upstream.getName()))
				.setIncarnation(entry.upstream.getIncarnation())
				.setSequence(entry.upstream.getSequence())
				.build());
		}
		return versions;
	}

	// Returns the records that an instance with the given versions may lack.
	static List<UpstreamRecord> findMissing(Collection<UpstreamTable.Entry> entries, List<Version> versions) {
		Map<Integer, Version> versionsByName = new HashMap<>();
		versions.forEach((version) -> versionsByName.put(version.getName(), version));
		List<UpstreamRecord> missingRecords = new ArrayList<>();
		for (UpstreamTable.Entry entry : entries) {
			Version version = versionsByName.get(NameHash.of(entry.upstream.getName()));
			if (version == null || !covers(version, entry.upstream)) {
				missingRecords.add(entry.upstream);
			}
		}
		return missingRecords;
	}

	// An expired lease may leave the sequence unchanged, so a version does not show
	// whether the upstream left.
	private static boolean covers(Version version, UpstreamRecord upstream) {
		return version.getIncarnation() == upstream.getIncarnation() && version.getSequence() >= upstream.getSequence()
				&& upstream.getState() != UpstreamState.LEFT;
	}

}
