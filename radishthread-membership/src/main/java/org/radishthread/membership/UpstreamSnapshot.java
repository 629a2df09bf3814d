package org.radishthread.membership;

import java.util.List;

import org.radishthread.protocol.UpstreamRecord;

/**
 * The upstream records that an instance must store, including those of upstreams that
 * left and must not come back by a late announcement.
 *
 * @param change the number of the latest change that the records contain
 * @param records the records
 */
public record UpstreamSnapshot(long change, List<UpstreamRecord> records) {
}
