package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.protocol.Version;

/**
 * Compares what two instances know of upstreams: a digest tells whether they differ,
 * versions tell where.
 */
final class UpstreamVersions {

	private UpstreamVersions() {
	}

	static long digest(Collection<UpstreamTable.Entry> entries) {
		long digest = 0;
		for (UpstreamTable.Entry entry : entries) {
			UpstreamRecord upstream = entry.upstream;
			if (upstream.getState() != UpstreamState.LEFT) {
				digest ^= mix(ShortName.of(upstream.getName()), upstream.getIncarnation(), upstream.getSequence());
			}
		}
		return digest;
	}

	// The finalizer of MurmurHash3 (Appleby, public domain).
	private static long mix(long name, long incarnation, long sequence) {
		long hash = name ^ Long.rotateLeft(incarnation, 32) ^ (sequence * 0x9E3779B97F4A7C15L);
		hash = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
		hash = (hash ^ (hash >>> 33)) * 0xC4CEB9FE1A85EC53L;
		return hash ^ (hash >>> 33);
	}

	static List<Version> known(Collection<UpstreamTable.Entry> entries) {
		List<Version> versions = new ArrayList<>();
		for (UpstreamTable.Entry entry : entries) {
			versions.add(Version.newBuilder()
				.setName(ShortName.of(entry.upstream.getName()))
				.setIncarnation(entry.upstream.getIncarnation())
				.setSequence(entry.upstream.getSequence())
				.build());
		}
		return versions;
	}

	// Returns the records that somebody with these versions lacks.
	static List<UpstreamRecord> missing(Collection<UpstreamTable.Entry> entries, List<Version> known) {
		return entries.stream()
			.map((entry) -> entry.upstream)
			.filter((upstream) -> known.stream().noneMatch((version) -> covers(version, upstream)))
			.toList();
	}

	private static boolean covers(Version version, UpstreamRecord upstream) {
		return version.getName() == ShortName.of(upstream.getName())
				&& version.getIncarnation() == upstream.getIncarnation()
				&& version.getSequence() >= upstream.getSequence() && upstream.getState() != UpstreamState.LEFT;
	}

}
