package org.radishthread.routing;

import java.util.Comparator;

import org.radishthread.kernel.Assert;

/**
 * The version of an announcement of an upstream. Of two announcements of the same
 * upstream, the one with the higher version is the newer one, at whichever instances they
 * are known. Immutable.
 *
 * @param incarnation a number that increases with each start of the upstream
 * @param sequence a number that increases with each change of the announcement of one
 * incarnation
 */
public record AnnouncementVersion(long incarnation, long sequence) implements Comparable<AnnouncementVersion> {

	/**
	 * The version that precedes all others, of an upstream of which none is known.
	 */
	public static final AnnouncementVersion NONE = new AnnouncementVersion(0, 0);

	private static final Comparator<AnnouncementVersion> ORDER = Comparator
		.comparingLong(AnnouncementVersion::incarnation)
		.thenComparingLong(AnnouncementVersion::sequence);

	public AnnouncementVersion {
		Assert.isTrue(incarnation >= 0, "Incarnation " + incarnation + " must not be negative.");
		Assert.isTrue(sequence >= 0, "Sequence " + sequence + " must not be negative.");
	}

	/**
	 * Returns a version that follows all announcements of an incarnation, and precedes
	 * those of the next one.
	 * @param incarnation the incarnation
	 * @return the version
	 */
	public static AnnouncementVersion lastOf(long incarnation) {
		return new AnnouncementVersion(incarnation, Long.MAX_VALUE);
	}

	@Override
	public int compareTo(AnnouncementVersion other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns whether this version is the newer one.
	 * @param other the version to compare with
	 * @return whether this version is higher
	 */
	public boolean isNewerThan(AnnouncementVersion other) {
		return compareTo(other) > 0;
	}

}
