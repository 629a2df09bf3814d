package org.radishthread.routing.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AllotmentMessage;
import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.protocol.Loan;
import org.radishthread.protocol.LoanRequest;
import org.radishthread.protocol.LoanReturn;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RetryAfter;

/**
 * Admits the requests of workspaces at this instance with tokens that the lenders of the
 * workspaces have lent to it. A request for which there is no token waits a short time
 * for a loan; it is refused at once while the lender is known to have no tokens.
 * <p>
 * This class is a state machine: each method takes an event with the monotonic time and
 * returns the effects to carry out. It is not safe for concurrent use.
 */
public final class AllotmentBorrower {

	// Longer than the time by which two instances learn of a change of the lender one
	// after the other. A request waits at most half of its remaining time.
	private static final long MAXIMUM_WAIT_NANOS = 900_000_000;

	private static final long ANSWER_TIMEOUT_NANOS = 150_000_000;

	// The longest time for which the answer of a lender that it has too few tokens
	// counts.
	private static final long MAXIMUM_LIMITED_NANOS = 250_000_000;

	private static final long RENEWAL_INTERVAL_NANOS = 1_000_000_000;

	// A loan that is used up is renewed before the next request waits for it.
	private static final long EARLY_RENEWAL_INTERVAL_NANOS = 100_000_000;

	private static final long IDLE_NANOS = 3_000_000_000L;

	private static final long IDLE_RATE_NANOS = 1_000_000_000;

	private static final long RESPONSIVE_NANOS = 2_500_000_000L;

	private static final long LIMIT_END_NANOS = 2_000_000_000L;

	private static final long REDIRECTION_NANOS = 1_000_000_000;

	private static final int MAXIMUM_REDIRECTIONS = 3;

	private static final double DEMAND_PERIOD_NANOS = 1_000_000_000;

	private static final double MINIMUM_EARLY_RENEWAL_DEMAND = 2;

	private static final long UNKNOWN_RETRY_AFTER_MILLIS = 500;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long runId;

	private final LenderDirectory directory;

	private final Map<String, Account> accounts = new HashMap<>();

	private List<AllotmentEffect> effects = new ArrayList<>();

	private long lastNumber;

	private long refusedRequests;

	/**
	 * Creates a borrower.
	 * @param runId a number that distinguishes this run of the instance from earlier ones
	 * @param directory the lenders of the workspaces
	 */
	public AllotmentBorrower(long runId, LenderDirectory directory) {
		this.runId = runId;
		this.directory = directory;
	}

	/**
	 * Takes a token for a request, or lets it wait for one.
	 * @param requestId the identifier of the request
	 * @param workspace the name of the workspace
	 * @param terms the allotment of the workspace
	 * @param deadlineNanos the deadline of the request, in nanoseconds
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<AllotmentEffect> acquire(long requestId, String workspace, AllotmentTerms terms, long deadlineNanos,
			long nowNanos) {
		Account account = this.accounts.computeIfAbsent(workspace, Account::new);
		if (account.terms == null || account.terms.getRevision() <= terms.getRevision()) {
			account.terms = terms;
		}
		account.recordArrival(nowNanos);
		WaitingRequest request = new WaitingRequest(requestId,
				nowNanos + Math.min(MAXIMUM_WAIT_NANOS, (deadlineNanos - nowNanos) / 2), deadlineNanos);
		if (account.waiting.isEmpty() && account.tokens.tryTake(nowNanos)) {
			this.effects.add(new AllotmentEffect.Granted(requestId));
		}
		else if (nowNanos < account.limitedUntilNanos) {
			refuseOverAllotment(account, request, nowNanos);
		}
		else {
			account.waiting.add(request);
		}
		requestLoanIfNeeded(account, nowNanos);
		return takeEffects();
	}

	private void refuseOverAllotment(Account account, WaitingRequest request, long nowNanos) {
		account.lastRefusalNanos = nowNanos;
		this.refusedRequests++;
		if (!account.limited) {
			account.limited = true;
			reportLimit(account, nowNanos);
		}
		long nextTokenMillis = account.tokens.nextTokenMillis();
		long expectedMillis = (nextTokenMillis >= 0) ? nextTokenMillis
				: Math.max(0, account.availableAtNanos - nowNanos) / NANOS_PER_MILLI;
		this.effects.add(new AllotmentEffect.Refused(request.id(), account.workspace, RefusalReason.ALLOTMENT,
				RetryAfter.delayMillis(expectedMillis, (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI,
						this.refusedRequests)));
	}

	private void reportLimit(Account account, long nowNanos) {
		String lenderAddress = account.tokens.lenderAddress();
		this.effects.add(new AllotmentEffect.LimitChanged(account.workspace, account.limited,
				account.requireTerms().getRequestsPerSecond(), account.demandPerSecond(nowNanos),
				(lenderAddress != null) ? lenderAddress : ""));
	}

	private void requestLoanIfNeeded(Account account, long nowNanos) {
		if (account.pendingNumber != 0) {
			return;
		}
		long sinceRequestNanos = nowNanos - account.requestedNanos;
		boolean usedUp = account.tokens.held(nowNanos) < 1 && nowNanos >= account.limitedUntilNanos
				&& sinceRequestNanos >= EARLY_RENEWAL_INTERVAL_NANOS
				&& account.demandPerSecond(nowNanos) >= MINIMUM_EARLY_RENEWAL_DEMAND;
		if (!account.waiting.isEmpty() || usedUp || sinceRequestNanos >= RENEWAL_INTERVAL_NANOS) {
			requestLoan(account, nowNanos);
		}
	}

	private void requestLoan(Account account, long nowNanos) {
		String address = (nowNanos < account.redirectedUntilNanos) ? account.redirectionAddress
				: this.directory.lenderAddress(account.workspace);
		if (address == null) {
			return;
		}
		account.pendingNumber = ++this.lastNumber;
		account.requestedNanos = nowNanos;
		BorrowedTokens tokens = account.tokens;
		this.effects
			.add(new AllotmentEffect.Send(address,
					message(account, account.pendingNumber).setRequest(LoanRequest.newBuilder()
						.setHeld(tokens.held(nowNanos))
						.setSurplus(tokens.takeSurplus())
						.setAcceptedNumber(tokens.number())
						.setLenderRun(tokens.lenderRun())
						.setGivenUpPerSecond(tokens.perSecond())
						.setGivenUpMillis(tokens.remainingMillis(nowNanos))
						.setDemandPerSecond(account.demandPerSecond(nowNanos))
						.setWanted(account.waiting.size())).build()));
	}

	private AllotmentMessage.Builder message(Account account, long number) {
		return AllotmentMessage.newBuilder()
			.setWorkspace(account.workspace)
			.setRun(this.runId)
			.setNumber(number)
			.setTerms(account.requireTerms());
	}

	/**
	 * Processes the answer of a lender.
	 * @param sender the peer address of the sender
	 * @param message the answer
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<AllotmentEffect> receive(String sender, AllotmentMessage message, long nowNanos) {
		Account account = this.accounts.get(message.getWorkspace());
		if (account == null || message.getRun() != this.runId || message.getNumber() != account.pendingNumber) {
			return List.of();
		}
		account.pendingNumber = 0;
		Loan loan = message.getLoan();
		if (loan.getLender()) {
			account.redirections = 0;
			account.answeredNanos = nowNanos;
			account.tokens.accept(loan, message.getNumber(), sender, account.requestedNanos, nowNanos);
			account.availableAtNanos = nowNanos + loan.getAvailableMillis() * NANOS_PER_MILLI;
			account.limitedUntilNanos = loan.getLimited()
					? Math.min(account.availableAtNanos, nowNanos + MAXIMUM_LIMITED_NANOS) : Long.MIN_VALUE;
			admitWaiting(account, loan.getLimited(), nowNanos);
		}
		else {
			redirect(account, loan.getLenderAddress(), nowNanos);
		}
		return takeEffects();
	}

	private void admitWaiting(Account account, boolean limited, long nowNanos) {
		while (!account.waiting.isEmpty() && account.tokens.tryTake(nowNanos)) {
			this.effects.add(new AllotmentEffect.Granted(account.waiting.remove().id()));
		}
		while (limited && !account.waiting.isEmpty()) {
			refuseOverAllotment(account, account.waiting.remove(), nowNanos);
		}
		if (!account.waiting.isEmpty()) {
			requestLoan(account, nowNanos);
		}
	}

	private void redirect(Account account, String lenderAddress, long nowNanos) {
		account.redirections++;
		if (lenderAddress.isEmpty() || account.redirections > MAXIMUM_REDIRECTIONS) {
			account.redirectedUntilNanos = Long.MIN_VALUE;
			return;
		}
		account.redirectionAddress = lenderAddress;
		account.redirectedUntilNanos = nowNanos + REDIRECTION_NANOS;
		requestLoan(account, nowNanos);
	}

	/**
	 * Gives the token of a request back that certainly did not run. To be called in the
	 * period in which the loan lasts; later it has no effect.
	 * @param workspace the name of the workspace
	 * @param late whether the request took the token some time ago
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void giveBack(String workspace, boolean late, long nowNanos) {
		Account account = this.accounts.get(workspace);
		if (account != null && account.tokens.isOpen()) {
			account.tokens.giveBack(late, nowNanos);
		}
	}

	/**
	 * Performs the work that depends on time: repeats requests for loans, refuses
	 * requests that waited too long, and returns loans that are not used.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<AllotmentEffect> tick(long nowNanos) {
		this.accounts.values().forEach((account) -> tick(account, nowNanos));
		this.accounts.values().removeIf((account) -> account.isIdle(nowNanos) && !account.tokens.isOpen());
		return takeEffects();
	}

	private void tick(Account account, long nowNanos) {
		if (account.pendingNumber != 0 && nowNanos - account.requestedNanos > ANSWER_TIMEOUT_NANOS) {
			account.pendingNumber = 0;
			account.redirectedUntilNanos = Long.MIN_VALUE;
		}
		if (account.pendingNumber == 0) {
			account.redirections = 0;
		}
		while (!account.waiting.isEmpty() && account.tokens.tryTake(nowNanos)) {
			this.effects.add(new AllotmentEffect.Granted(account.waiting.remove().id()));
		}
		while (!account.waiting.isEmpty() && nowNanos > account.waiting.element().waitsUntilNanos()) {
			this.effects.add(new AllotmentEffect.Refused(account.waiting.remove().id(), account.workspace,
					RefusalReason.ALLOTMENT_UNKNOWN, UNKNOWN_RETRY_AFTER_MILLIS));
		}
		if (account.pendingNumber == 0 && !account.waiting.isEmpty()) {
			requestLoan(account, nowNanos);
		}
		if (account.limited && nowNanos - account.lastRefusalNanos > LIMIT_END_NANOS) {
			account.limited = false;
			reportLimit(account, nowNanos);
		}
		// The rate of an unused loan is missed by others, for instance after the home of
		// a service has changed.
		boolean unusedRate = account.tokens.perSecond() > 0 && nowNanos - account.lastArrivalNanos > IDLE_RATE_NANOS
				&& account.pendingNumber == 0;
		if (unusedRate || account.isIdle(nowNanos)) {
			returnLoan(account, nowNanos);
		}
	}

	private void returnLoan(Account account, long nowNanos) {
		double unusedTokens = account.tokens.unused(nowNanos);
		String lenderAddress = account.tokens.lenderAddress();
		if (lenderAddress != null) {
			this.effects.add(new AllotmentEffect.Send(lenderAddress,
					message(account, ++this.lastNumber).setReturn(LoanReturn.newBuilder().setTokens(unusedTokens))
						.build()));
			account.tokens.end();
		}
	}

	/**
	 * Returns whether {@link #tick} must be called at intervals.
	 * @return whether there are loans or requests that wait for one
	 */
	public boolean needsTick() {
		return !this.accounts.isEmpty();
	}

	private List<AllotmentEffect> takeEffects() {
		List<AllotmentEffect> pendingEffects = this.effects;
		this.effects = new ArrayList<>();
		return pendingEffects;
	}

	private record WaitingRequest(long id, long waitsUntilNanos, long deadlineNanos) {
	}

	/**
	 * What this instance knows of one workspace.
	 */
	private static final class Account {

		private final String workspace;

		private final BorrowedTokens tokens = new BorrowedTokens();

		private final Deque<WaitingRequest> waiting = new ArrayDeque<>();

		private @Nullable AllotmentTerms terms;

		// Zero unless an answer is awaited.
		private long pendingNumber;

		private long requestedNanos = Long.MIN_VALUE / 2;

		private long answeredNanos = Long.MIN_VALUE / 2;

		private long limitedUntilNanos = Long.MIN_VALUE;

		private long availableAtNanos;

		private @Nullable String redirectionAddress;

		private long redirectedUntilNanos = Long.MIN_VALUE;

		private int redirections;

		private double demandPerSecond;

		private long lastArrivalNanos;

		private long lastRefusalNanos;

		private boolean limited;

		private Account(String workspace) {
			this.workspace = workspace;
		}

		private AllotmentTerms requireTerms() {
			AllotmentTerms knownTerms = this.terms;
			return (knownTerms != null) ? knownTerms : AllotmentTerms.getDefaultInstance();
		}

		private void recordArrival(long nowNanos) {
			this.demandPerSecond = demandPerSecond(nowNanos) + NANOS_PER_SECOND / DEMAND_PERIOD_NANOS;
			this.lastArrivalNanos = nowNanos;
		}

		private double demandPerSecond(long nowNanos) {
			return this.demandPerSecond * Math.exp((this.lastArrivalNanos - nowNanos) / DEMAND_PERIOD_NANOS);
		}

		private boolean isIdle(long nowNanos) {
			return nowNanos - this.lastArrivalNanos > IDLE_NANOS && this.waiting.isEmpty() && this.pendingNumber == 0;
		}

	}

}
