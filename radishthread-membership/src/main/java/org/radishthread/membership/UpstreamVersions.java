package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.protocol.Version;

/**
 * Compares the upstream records of two instances. A digest, a hash over the versions of
 * all upstreams that have not left, shows whether they differ; the versions show in which
 * records. The version of a record is its incarnation and sequence.
 */
final class UpstreamVersions {

	private UpstreamVersions() {
	}

	static long digest(Collection<UpstreamTable.Entry> entries) {
		long digest = 0;
		for (UpstreamTable.Entry entry : entries) {
			UpstreamRecord upstream = entry.upstream;
			if (upstream.getState() != UpstreamState.LEFT) {
				digest ^= mix(NameHash.of(upstream.getName()), upstream.getIncarnation(), upstream.getSequence());
			}
		}
		return digest;
	}

	// The finalizer of MurmurHash3 (Appleby, public domain).
	private static long mix(long nameHash, long incarnation, long sequence) {
		long hash = nameHash ^ Long.rotateLeft(incarnation, 32) ^ (sequence * 0x9E3779B97F4A7C15L);
		hash = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
		hash = (hash ^ (hash >>> 33)) * 0xC4CEB9FE1A85EC53L;
		return hash ^ (hash >>> 33);
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
		return entries.stream()
			.map((entry) -> entry.upstream)
			.filter((upstream) -> versions.stream().noneMatch((version) -> covers(version, upstream)))
			.toList();
	}

	// An expired lease may leave the sequence unchanged, so a version does not show
	// whether the upstream left.
	private static boolean covers(Version version, UpstreamRecord upstream) {
		return version.getName() == NameHash.of(upstream.getName())
				&& version.getIncarnation() == upstream.getIncarnation()
				&& version.getSequence() >= upstream.getSequence() && upstream.getState() != UpstreamState.LEFT;
	}

}
