package org.radishthread.routing.allotment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AllotmentHandover;
import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.protocol.Loan;
import org.radishthread.protocol.LoanRequest;
import org.radishthread.protocol.OpenLoan;
import org.radishthread.routing.AllotmentLimits;

/**
 * The tokens of one workspace and the loans of them, kept by its lender: a token bucket
 * of which borrowers hold parts. A loan gives tokens at once, and a rate at which the
 * borrower adds more by itself until the loan ends; the rates of all loans are taken from
 * the rate of the bucket, and what borrowers may hold is taken from its size. So in any
 * window no more tokens are used than the rate times the window plus the size, whatever
 * becomes of the borrowers.
 * <p>
 * A new lender does not know the loans of the former one. It starts nearly without
 * tokens, and for some time its rate is the sum of those that borrowers give up when they
 * come to it. Points in time are monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class AllotmentLedger {

	/**
	 * The duration of a loan: longer than it takes until a lender that is lost has been
	 * replaced and the next one lends at the whole rate.
	 */
	static final long LOAN_MILLIS = 8_000;

	/**
	 * The time in which a new lender lends only what borrowers have given up: longer than
	 * the time by which two instances learn of a change of the lender one after the
	 * other.
	 */
	static final long TAKEOVER_NANOS = 2_500_000_000L;

	// The part of the tolerance that is lent in addition to the burst. The rest covers
	// changes of the lender and requests that give their tokens back late.
	private static final double LENT_TOLERANCE_SHARE = 0.5;

	private static final double INITIAL_TOLERANCE_SHARE = 0.1;

	// Borrowers with less demand get whole tokens ahead instead of a rate.
	private static final double MINIMUM_RATE = 2;

	private static final double RATE_AHEAD_SECONDS = 0.25;

	// Room for the tokens of a time in which by chance no request comes.
	private static final double MINIMUM_SPARE_ROOM = 2;

	private static final double TOKENS_AHEAD_SECONDS = 2;

	private static final double AHEAD_SHARE = 0.25;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final AllotmentLimits limits;

	private AllotmentTerms terms;

	private double tokens;

	private long updatedNanos;

	private long takeoverEndNanos;

	private final Map<String, Borrower> borrowers = new HashMap<>();

	// By the address of the borrower.
	private final Map<String, GivenUpRate> givenUpRates = new HashMap<>();

	AllotmentLedger(AllotmentLimits limits, AllotmentTerms terms, long lenderSinceNanos, long nowNanos) {
		this.limits = limits;
		this.terms = terms;
		this.takeoverEndNanos = lenderSinceNanos + TAKEOVER_NANOS;
		double secondsAtWholeRate = Math.max(0, nowNanos - this.takeoverEndNanos) / NANOS_PER_SECOND;
		this.tokens = Math.min(size(),
				INITIAL_TOLERANCE_SHARE * tolerance() + secondsAtWholeRate * terms.getRequestsPerSecond());
		this.updatedNanos = nowNanos;
	}

	private double tolerance() {
		return this.limits.overage()
				* (this.terms.getRequestsPerSecond() * this.limits.windowSeconds() + this.terms.getBurst())
				+ this.limits.slack();
	}

	private double size() {
		return Math.max(1, this.terms.getBurst() + LENT_TOLERANCE_SHARE * tolerance());
	}

	AllotmentTerms terms() {
		return this.terms;
	}

	void updateTerms(AllotmentTerms updatedTerms, long nowNanos) {
		if (updatedTerms.getRevision() > this.terms.getRevision()) {
			refill(nowNanos);
			this.terms = updatedTerms;
			limitToSize();
		}
	}

	// Tokens may be negative: loans at a former rate last for some time.
	void refill(long nowNanos) {
		while (this.updatedNanos < nowNanos) {
			long untilNanos = nextChangeNanos(nowNanos);
			double seconds = (untilNanos - this.updatedNanos) / NANOS_PER_SECOND;
			this.tokens += seconds * (rate() - lentRate(null));
			this.updatedNanos = untilNanos;
			removeEnded();
			limitToSize();
		}
	}

	private long nextChangeNanos(long nowNanos) {
		long nextNanos = nowNanos;
		if (this.takeoverEndNanos > this.updatedNanos) {
			nextNanos = Math.min(nextNanos, this.takeoverEndNanos);
		}
		for (GivenUpRate givenUp : this.givenUpRates.values()) {
			nextNanos = Math.min(nextNanos, givenUp.untilNanos());
		}
		for (Borrower borrower : this.borrowers.values()) {
			for (OutstandingLoan loan : borrower.loans) {
				nextNanos = Math.min(nextNanos, loan.endNanos());
			}
		}
		return Math.max(nextNanos, this.updatedNanos);
	}

	private void removeEnded() {
		this.givenUpRates.values().removeIf((givenUp) -> givenUp.untilNanos() <= this.updatedNanos);
		this.borrowers.values()
			.forEach((borrower) -> borrower.loans.removeIf((loan) -> loan.endNanos() <= this.updatedNanos));
		this.borrowers.values().removeIf((borrower) -> borrower.loans.isEmpty());
	}

	private void limitToSize() {
		this.tokens = Math.min(this.tokens, Math.max(0, size() - lentMaximum(null)));
	}

	private double rate() {
		double wholeRate = this.terms.getRequestsPerSecond();
		if (this.updatedNanos >= this.takeoverEndNanos) {
			return wholeRate;
		}
		return Math.min(wholeRate, this.givenUpRates.values().stream().mapToDouble(GivenUpRate::perSecond).sum());
	}

	private double lentRate(@Nullable Borrower exception) {
		return this.borrowers.values()
			.stream()
			.filter((borrower) -> borrower != exception)
			.mapToDouble(Borrower::lentRate)
			.sum();
	}

	private double lentMaximum(@Nullable Borrower exception) {
		return this.borrowers.values()
			.stream()
			.filter((borrower) -> borrower != exception)
			.mapToDouble(Borrower::lentMaximum)
			.sum();
	}

	// Returns null if the request was overtaken by a later one.
	Loan.@Nullable Builder lend(LoanRequest request, String address, long run, long number, boolean ownLoan,
			long nowNanos) {
		refill(nowNanos);
		Borrower borrower = this.borrowers.get(address);
		if (borrower == null || borrower.run != run) {
			borrower = new Borrower(run);
			this.borrowers.put(address, borrower);
		}
		if (number <= borrower.lastNumber) {
			return null;
		}
		borrower.lastNumber = number;
		borrower.demandPerSecond = request.getDemandPerSecond();
		this.tokens += borrower.removeFormer(request.getAcceptedNumber(), nowNanos);
		if (ownLoan) {
			this.tokens += request.getSurplus();
		}
		else if (request.getGivenUpMillis() > 0) {
			this.givenUpRates.put(address, new GivenUpRate(request.getGivenUpPerSecond(),
					nowNanos + request.getGivenUpMillis() * NANOS_PER_MILLI));
		}
		limitToSize();
		return lend(request, borrower, number);
	}

	private Loan.Builder lend(LoanRequest request, Borrower borrower, long number) {
		double loanRate = loanRate(borrower);
		double room = Math.max(0, size() - lentMaximum(borrower));
		// Others may need the tokens before this borrower needs those lent ahead.
		double spareTokens = Math.max(0, this.tokens + request.getHeld() - request.getWanted());
		double desiredTokens = Math.max(1,
				request.getWanted() + Math.min(tokensAhead(borrower, loanRate), spareTokens * AHEAD_SHARE));
		double granted = Math.max(0, Math.min(Math.min(desiredTokens, room) - request.getHeld(), this.tokens));
		if (loanRate == 0) {
			// Parts of a token are of no use without a rate.
			granted = Math.max(0, Math.floor(request.getHeld() + granted) - request.getHeld());
		}
		double heldTokens = request.getHeld() + granted;
		double spareRoom = (loanRate > 0) ? Math.max(MINIMUM_SPARE_ROOM, loanRate * RATE_AHEAD_SECONDS) : 0;
		double maximum = Math.min(room, heldTokens + spareRoom);
		this.tokens -= granted;
		borrower.loans.add(new OutstandingLoan(number, loanRate, maximum, granted, this.updatedNanos,
				this.updatedNanos + LOAN_MILLIS * NANOS_PER_MILLI));
		limitToSize();
		Loan.Builder loan = Loan.newBuilder()
			.setLender(true)
			.setTokens(granted)
			.setPerSecond(loanRate)
			.setMaximumTokens(maximum)
			.setValidMillis(LOAN_MILLIS);
		if (request.getHeld() + granted < request.getWanted()) {
			loan.setLimited(true).setAvailableMillis(availableMillis());
		}
		return loan;
	}

	private static double tokensAhead(Borrower borrower, double loanRate) {
		return (loanRate > 0) ? loanRate * RATE_AHEAD_SECONDS
				: Math.min(borrower.demandPerSecond, MINIMUM_RATE) * TOKENS_AHEAD_SECONDS;
	}

	private double loanRate(Borrower borrower) {
		double totalDemand = this.borrowers.values().stream().mapToDouble((lentTo) -> lentTo.demandPerSecond).sum();
		double demand = borrower.demandPerSecond;
		double share = demand * Math.min(1, rate() / totalDemand);
		double loanRate = Math.min(share, rate() - lentRate(borrower));
		return (loanRate >= MINIMUM_RATE) ? loanRate : 0;
	}

	private long availableMillis() {
		double perSecond = Math.max(rate() - lentRate(null), 0);
		double seconds = Math.max(0, 1 - this.tokens) / perSecond;
		double knownSeconds = Math.min(seconds,
				Math.max(0, 1 - this.tokens) / this.terms.getRequestsPerSecond() + LOAN_MILLIS / 1_000.0);
		return (long) Math.ceil(knownSeconds * 1_000);
	}

	// Ends a loan; the tokens were not used. Returns whether it was open.
	boolean takeBack(double returnedTokens, String address, long run, long number, long nowNanos) {
		refill(nowNanos);
		Borrower borrower = this.borrowers.get(address);
		if (borrower == null || borrower.run != run || number <= borrower.lastNumber) {
			return false;
		}
		this.borrowers.remove(address);
		this.tokens += returnedTokens;
		limitToSize();
		return true;
	}

	AllotmentHandover toHandover(long nowNanos) {
		refill(nowNanos);
		AllotmentHandover.Builder handover = AllotmentHandover.newBuilder().setTokens(this.tokens);
		this.borrowers.forEach((address,
				borrower) -> borrower.loans.forEach((loan) -> handover.addLoans(OpenLoan.newBuilder()
					.setBorrower(address)
					.setRun(borrower.run)
					.setNumber(loan.number())
					.setPerSecond(loan.perSecond())
					.setMaximumTokens(loan.maximumTokens())
					.setDemandPerSecond(borrower.demandPerSecond)
					.setRemainingMillis((loan.endNanos() - nowNanos) / NANOS_PER_MILLI + 1))));
		return handover.build();
	}

	// From the former lender, which lends nothing any more. Rates that its borrowers have
	// given up here already are part of the whole rate.
	void takeOver(AllotmentHandover handover, long nowNanos) {
		refill(nowNanos);
		this.takeoverEndNanos = Math.min(this.takeoverEndNanos, nowNanos);
		this.givenUpRates.clear();
		this.tokens += handover.getTokens();
		for (OpenLoan open : handover.getLoansList()) {
			Borrower borrower = this.borrowers.computeIfAbsent(open.getBorrower(),
					(address) -> new Borrower(open.getRun()));
			if (borrower.run == open.getRun() && borrower.lastNumber <= open.getNumber()) {
				borrower.lastNumber = open.getNumber();
				borrower.demandPerSecond = open.getDemandPerSecond();
				borrower.loans.add(new OutstandingLoan(open.getNumber(), open.getPerSecond(), open.getMaximumTokens(),
						0, nowNanos, nowNanos + open.getRemainingMillis() * NANOS_PER_MILLI));
			}
		}
		limitToSize();
	}

	boolean isTakingOver(long nowNanos) {
		return nowNanos < this.takeoverEndNanos;
	}

	boolean isFull() {
		return this.tokens >= size();
	}

	// Whether nothing is lent, and no tokens are missing.
	boolean isUntouched(long nowNanos) {
		refill(nowNanos);
		return this.borrowers.isEmpty() && isFull();
	}

	private static final class Borrower {

		private final long run;

		private final List<OutstandingLoan> loans = new ArrayList<>();

		private long lastNumber;

		private double demandPerSecond;

		private Borrower(long run) {
			this.run = run;
		}

		// The borrower ignores the answers to requests before its latest one, unless it
		// has accepted them already. Until now the higher rate of the loan that it used
		// before and the accepted one was counted. Returns the tokens that it will not
		// use.
		private double removeFormer(long acceptedNumber, long nowNanos) {
			double unusedTokens = 0;
			for (OutstandingLoan loan : this.loans) {
				if (loan.number() > acceptedNumber) {
					unusedTokens += loan.granted();
				}
				else if (loan.number() == acceptedNumber) {
					double countedRate = this.loans.stream()
						.filter((former) -> former.number() < acceptedNumber)
						.mapToDouble(OutstandingLoan::perSecond)
						.max()
						.orElse(0);
					unusedTokens += Math.max(0, countedRate - loan.perSecond()) * (nowNanos - loan.lentNanos())
							/ NANOS_PER_SECOND;
				}
			}
			this.loans.removeIf((loan) -> loan.number() != acceptedNumber);
			return unusedTokens;
		}

		private double lentRate() {
			return this.loans.stream().mapToDouble(OutstandingLoan::perSecond).max().orElse(0);
		}

		private double lentMaximum() {
			return this.loans.stream().mapToDouble(OutstandingLoan::maximumTokens).max().orElse(0);
		}

	}

	private record OutstandingLoan(long number, double perSecond, double maximumTokens, double granted, long lentNanos,
			long endNanos) {
	}

	private record GivenUpRate(double perSecond, long untilNanos) {
	}

}
