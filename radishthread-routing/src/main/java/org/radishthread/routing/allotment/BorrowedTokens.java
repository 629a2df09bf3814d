package org.radishthread.routing.allotment;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.Loan;

/**
 * The tokens that this instance holds for one workspace: those of its latest loan, and
 * those that it adds at the rate of the loan until the loan ends. Points in time are
 * monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class BorrowedTokens {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Requests that gave their tokens back long after they had taken them could add up in
	// a later window, so only few of them do.
	private static final double LATE_RETURN_SHARE = 0.03;

	private double tokens;

	// Tokens for which there was no room.
	private double surplus;

	// By how much the lender counts more than the rate of the loan: until the next
	// request it does not know which loan is in use, this one or the former one.
	private double excessPerSecond;

	private long excessEndNanos;

	// Tokens that the lender has counted so since this instance accepted the loan.
	private double excessTokens;

	private double lateReturns = 1;

	private long updatedNanos;

	private long number;

	private @Nullable String lenderAddress;

	private long lenderRun;

	private double perSecond;

	private double maximumTokens;

	private long endNanos = Long.MIN_VALUE;

	// The answer to a request for a loan. While it was on its way, the lender counted
	// the new rate, and this instance the former one.
	void accept(Loan loan, long loanNumber, String address, long requestedNanos, long nowNanos) {
		refill(nowNanos);
		boolean sameLender = this.lenderRun == loan.getLenderRun();
		double countedTwicePerSecond = sameLender ? Math.max(0, this.perSecond - loan.getPerSecond()) : this.perSecond;
		this.tokens -= countedTwicePerSecond * (nowNanos - requestedNanos) / NANOS_PER_SECOND;
		this.updatedNanos = nowNanos;
		if (!sameLender) {
			this.surplus = 0;
		}
		this.excessPerSecond = sameLender ? countedTwicePerSecond : 0;
		this.excessEndNanos = this.endNanos;
		this.excessTokens = 0;
		this.number = loanNumber;
		this.lenderAddress = address;
		this.lenderRun = loan.getLenderRun();
		this.perSecond = loan.getPerSecond();
		this.maximumTokens = loan.getMaximumTokens();
		// The lender counts from the arrival of the request, so it lends for longer.
		this.endNanos = requestedNanos + loan.getValidMillis() * NANOS_PER_MILLI;
		this.tokens = Math.min(this.maximumTokens, this.tokens + loan.getTokens());
	}

	private void refill(long nowNanos) {
		if (this.endNanos == Long.MIN_VALUE) {
			return;
		}
		double seconds = Math.max(0, Math.min(nowNanos, this.endNanos) - this.updatedNanos) / NANOS_PER_SECOND;
		this.tokens += seconds * this.perSecond;
		this.surplus += Math.max(0, this.tokens - this.maximumTokens);
		this.tokens = Math.min(this.maximumTokens, this.tokens);
		this.lateReturns = Math.min(1, this.lateReturns + seconds * LATE_RETURN_SHARE * Math.max(1, this.perSecond));
		double excessSeconds = Math.max(0, Math.min(nowNanos, this.excessEndNanos) - this.updatedNanos)
				/ NANOS_PER_SECOND;
		this.excessTokens += excessSeconds * this.excessPerSecond;
		this.updatedNanos = nowNanos;
		if (nowNanos >= this.endNanos) {
			end();
		}
	}

	void end() {
		this.tokens = 0;
		endExcess();
		this.perSecond = 0;
		this.number = 0;
		this.lenderRun = 0;
		this.lenderAddress = null;
		this.endNanos = Long.MIN_VALUE;
	}

	private void endExcess() {
		this.surplus = 0;
		this.excessPerSecond = 0;
		this.excessTokens = 0;
	}

	boolean tryTake(long nowNanos) {
		refill(nowNanos);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	void giveBack(boolean late, long nowNanos) {
		refill(nowNanos);
		if (late && this.lateReturns < 1) {
			return;
		}
		if (late) {
			this.lateReturns--;
		}
		this.tokens = Math.min(this.maximumTokens, this.tokens + 1);
	}

	double held(long nowNanos) {
		refill(nowNanos);
		return Math.max(0, this.tokens);
	}

	// For a request. By it the lender learns which loan is in use, and so what it has
	// counted beyond its rate.
	double takeSurplus() {
		double takenSurplus = this.surplus;
		endExcess();
		return takenSurplus;
	}

	// All tokens that the lender counts as used and that this instance has not used.
	double unused(long nowNanos) {
		refill(nowNanos);
		return Math.max(0, this.tokens + this.surplus + this.excessTokens);
	}

	// The time until the rate of the loan has added a token, or -1 if it does not.
	long nextTokenMillis() {
		return (this.perSecond > 0) ? (long) Math.ceil(Math.max(0, 1 - this.tokens) / this.perSecond * 1_000) : -1;
	}

	boolean isOpen() {
		return this.endNanos != Long.MIN_VALUE;
	}

	long number() {
		return this.number;
	}

	@Nullable String lenderAddress() {
		return this.lenderAddress;
	}

	long lenderRun() {
		return this.lenderRun;
	}

	double perSecond() {
		return this.perSecond;
	}

	long remainingMillis(long nowNanos) {
		return isOpen() ? Math.max(0, this.endNanos - nowNanos) / NANOS_PER_MILLI : 0;
	}

}
