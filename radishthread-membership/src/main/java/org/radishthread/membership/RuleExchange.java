package org.radishthread.membership;

import java.util.Optional;

import com.google.protobuf.ByteString;

import org.radishthread.kernel.Backoff;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleRequest;

/**
 * Holds the newest rules that reached this instance, and exchanges them with peers: it
 * requests those of a peer with a higher revision, and responds to such requests. A
 * request names the revision held, so that the response can be the difference from it and
 * is always the newest revision of the peer, however many were accepted in between. Only
 * a higher revision replaces the one held. Peers are told the applied revision, which
 * follows the one held as soon as the instance routes by it. Not thread-safe; times are
 * monotonic, in milliseconds.
 */
final class RuleExchange {

	private static final long MINIMUM_REQUEST_INTERVAL_MILLIS = 500;

	/**
	 * How long a new revision is awaited from a nearer source before it is requested from
	 * a farther one, in milliseconds. Longer than the heartbeat interval by which a
	 * control instance learns from its leader that a revision is committed.
	 */
	private static final long NEARER_SOURCE_MILLIS = 250;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final RuleFileEncoder encoder;

	// Also how long the confirmation of a revision that this instance lacks is valid.
	private final long rulesApplyMillis;

	// The interval grows, so that requests do not add up while a large file is on its
	// way through a slow link.
	private final Backoff requestInterval;

	// The newest rules that this instance holds.
	private RuleFile ruleFile = RuleFile.getDefaultInstance();

	// The rules by which this instance routes, which are those that it holds once all its
	// parts have accepted them.
	private RuleFile appliedFile = RuleFile.getDefaultInstance();

	private RuleTransfer lastTransfer = new RuleTransfer(RuleTransfer.Form.LOCAL, 0, 0);

	private boolean changed;

	private boolean confirmed;

	// The confirmed revision that this instance lacks, or zero.
	private long awaitedRevision;

	private long awaitedUntilMillis;

	private long nextRequestMillis = NEVER;

	// The peer that was sent the last request.
	private String requestedAddress = "";

	private long behindSinceMillis = Long.MAX_VALUE;

	// A peer with a higher revision from which it is requested unless a nearer one has it
	// in time; empty for none.
	private String fartherAddress = "";

	// Whether the last file could not be decoded, so that the next one must not be a
	// difference.
	private boolean wholeRequired;

	/**
	 * Creates an exchange without rules.
	 * @param retaining whether former revisions are retained as bases of differences for
	 * peers
	 * @param rulesApplyMillis the time after their acceptance within which rules must be
	 * in force everywhere, in milliseconds
	 */
	RuleExchange(boolean retaining, long rulesApplyMillis) {
		this.encoder = new RuleFileEncoder(retaining);
		this.rulesApplyMillis = rulesApplyMillis;
		this.requestInterval = new Backoff(MINIMUM_REQUEST_INTERVAL_MILLIS,
				Math.max(MINIMUM_REQUEST_INTERVAL_MILLIS, rulesApplyMillis / 2));
	}

	RuleFile ruleFile() {
		return this.ruleFile;
	}

	RuleFile appliedFile() {
		return this.appliedFile;
	}

	long appliedRevision() {
		return this.appliedFile.getRevision();
	}

	// Records that all parts of this instance have accepted a revision. Returns whether
	// it is the newest one that this instance holds.
	boolean recordApplied(long appliedRevision) {
		if (appliedRevision != revision()) {
			return false;
		}
		this.appliedFile = this.ruleFile;
		this.behindSinceMillis = Long.MAX_VALUE;
		return true;
	}

	RuleTransfer lastTransfer() {
		return this.lastTransfer;
	}

	long revision() {
		return this.ruleFile.getRevision();
	}

	// Whether the applied rules were confirmed to be in force since this process started
	// or resumed.
	boolean isConfirmed() {
		return this.confirmed;
	}

	// The revision to tell peers. Rules read from the disk, or received from a peer that
	// just started, may be older than the accepted ones, so they must not count as in
	// force; nor must rules that are not applied yet.
	long reportedRevision() {
		boolean noneApplied = appliedRevision() == 0 && revision() > 0;
		return (this.confirmed && !noneApplied) ? appliedRevision() : InstanceTable.UNCONFIRMED_REVISION;
	}

	// Returns whether the rules are newer than those held, and are to be applied.
	boolean offer(RuleFile offeredRules, long nowMillis) {
		if (offeredRules.getRevision() <= revision()) {
			return false;
		}
		hold(RuleFileDecoder.decode(offeredRules, this.ruleFile), nowMillis);
		// Compressed rules were read from the control group, others come from the log.
		boolean read = !offeredRules.getCompressedContent().isEmpty();
		this.lastTransfer = new RuleTransfer(read ? RuleTransfer.Form.COMPRESSED : RuleTransfer.Form.LOCAL,
				read ? offeredRules.getSerializedSize() : 0, this.lastTransfer.refusedCount());
		return true;
	}

	// Returns whether the rules that a peer sent are newer than those held. Rules that
	// can't be decoded are dropped; the next request then asks for the whole file.
	boolean receive(RuleFile receivedRules, long nowMillis) {
		if (receivedRules.getRevision() <= revision()) {
			return false;
		}
		try {
			hold(RuleFileDecoder.decode(receivedRules, this.ruleFile), nowMillis);
		}
		catch (IllegalArgumentException ex) {
			// A difference from a former revision was on its way while a newer one
			// arrived; the next request names the rules that are held now.
			boolean outdatedBase = receivedRules.hasDifference()
					&& receivedRules.getDifference().getBaseRevision() < revision();
			this.wholeRequired |= !outdatedBase;
			this.nextRequestMillis = NEVER;
			this.lastTransfer = new RuleTransfer(this.lastTransfer.form(), this.lastTransfer.bytes(),
					this.lastTransfer.refusedCount() + 1);
			return false;
		}
		this.lastTransfer = new RuleTransfer(RuleTransfer.Form.of(receivedRules), receivedRules.getSerializedSize(),
				this.lastTransfer.refusedCount());
		return true;
	}

	private void hold(RuleFile decodedRules, long nowMillis) {
		this.ruleFile = decodedRules;
		this.encoder.setCurrent(decodedRules);
		this.changed = true;
		this.confirmed |= this.awaitedRevision > 0 && decodedRules.getRevision() >= this.awaitedRevision
				&& nowMillis <= this.awaitedUntilMillis;
		this.nextRequestMillis = NEVER;
		this.requestInterval.reset();
		this.behindSinceMillis = Math.min(this.behindSinceMillis, nowMillis);
		this.fartherAddress = "";
		this.wholeRequired = false;
	}

	void confirm() {
		this.confirmed = true;
	}

	// Records that a revision was the newest accepted one just now. If this instance
	// lacks it, it is confirmed when it arrives in time.
	void confirmRevision(long revision, long nowMillis) {
		if (revision() >= revision) {
			this.confirmed = true;
			return;
		}
		this.awaitedRevision = revision;
		this.awaitedUntilMillis = nowMillis + this.rulesApplyMillis;
	}

	void resetAfterFreeze() {
		this.confirmed = false;
		this.awaitedRevision = 0;
	}

	// Returns the rules that this instance holds for a peer, unless its revision is not
	// lower.
	Optional<RuleFile> respond(RuleRequest request) {
		return (revision() > request.getKnownRevision()) ? Optional.of(this.encoder.encode(request)) : Optional.empty();
	}

	// Returns the request to send to a peer now, if it has a higher revision and no other
	// request is under way. If a nearer source may have the revision soon, a request to
	// the peer is left to a later call of createOverdueRequest.
	Optional<RuleRequest> createRequest(String peerAddress, long peerRevision, boolean nearerSourceExpected,
			long nowMillis) {
		if (peerRevision <= revision()) {
			return Optional.empty();
		}
		this.behindSinceMillis = Math.min(this.behindSinceMillis, nowMillis);
		if (nearerSourceExpected && nowMillis - this.behindSinceMillis < NEARER_SOURCE_MILLIS) {
			this.fartherAddress = peerAddress;
			return Optional.empty();
		}
		return createRequest(peerAddress, nowMillis);
	}

	private Optional<RuleRequest> createRequest(String peerAddress, long nowMillis) {
		if (nowMillis < this.nextRequestMillis) {
			return Optional.empty();
		}
		this.fartherAddress = "";
		this.requestedAddress = peerAddress;
		this.nextRequestMillis = nowMillis + this.requestInterval.nextMillis();
		RuleRequest.Builder request = RuleRequest.newBuilder().setKnownRevision(revision()).setAcceptsEncoded(true);
		if (revision() > 0 && !this.wholeRequired) {
			request.setKnownDigest(ByteString.copyFrom(Sha256.of(this.ruleFile.getContent())));
		}
		return Optional.of(request.build());
	}

	// Returns the peer to which a request is due because no nearer source had the
	// revision in time, or an empty text.
	String overdueAddress(long nowMillis) {
		return isBehindLongerThan(NEARER_SOURCE_MILLIS, nowMillis) ? this.fartherAddress : "";
	}

	Optional<RuleRequest> createOverdueRequest(long nowMillis) {
		return createRequest(this.fartherAddress, nowMillis);
	}

	// Does not await the response to the last request any longer if it was sent to a peer
	// that was found to be silent. The interval still grows.
	void releaseRequest(String silentAddress) {
		if (silentAddress.equals(this.requestedAddress)) {
			this.nextRequestMillis = NEVER;
		}
	}

	boolean isBehindLongerThan(long durationMillis, long nowMillis) {
		return this.behindSinceMillis != Long.MAX_VALUE && nowMillis - this.behindSinceMillis > durationMillis;
	}

	// Returns whether newer rules are held since the last call.
	boolean drainChanged() {
		boolean drainedChange = this.changed;
		this.changed = false;
		return drainedChange;
	}

}
