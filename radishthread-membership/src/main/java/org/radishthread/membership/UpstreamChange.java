package org.radishthread.membership;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.UpstreamRecord;

/**
 * A changed record of an upstream.
 *
 * @param upstream the new record
 * @param leaseOnly whether nothing but the lease changed, which matters to the instances
 * that hold leases only
 */
record UpstreamChange(UpstreamRecord upstream, boolean leaseOnly) {

	static UpstreamChange of(@Nullable UpstreamRecord formerRecord, UpstreamRecord newRecord) {
		boolean leaseOnly = formerRecord != null && withoutLease(formerRecord).equals(withoutLease(newRecord));
		return new UpstreamChange(newRecord, leaseOnly);
	}

	private static UpstreamRecord withoutLease(UpstreamRecord upstream) {
		return upstream.toBuilder().clearHolder().clearSequence().build();
	}

}
