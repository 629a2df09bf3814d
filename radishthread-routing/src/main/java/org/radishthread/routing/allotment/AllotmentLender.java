package org.radishthread.routing.allotment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.radishthread.protocol.AllotmentMessage;
import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.protocol.HandoverRequest;
import org.radishthread.protocol.Loan;
import org.radishthread.routing.AllotmentLimits;

/**
 * Lends the tokens of those workspaces of which this instance is the lender. Both the own
 * rules and those of the borrowers tell the allotments; the highest revision counts.
 * <p>
 * This class is a state machine: each method takes an event with the monotonic time and
 * returns the effects to carry out. It is not safe for concurrent use.
 */
public final class AllotmentLender {

	// A former lender may learn of the change earlier than this instance, and hand its
	// loans over before this instance takes itself for the lender.
	private static final long EARLY_HANDOVER_NANOS = 3_000_000_000L;

	private static final long HANDOVER_TIMEOUT_NANOS = 150_000_000;

	private final long runId;

	private final String address;

	private final AllotmentLimits limits;

	private final LenderDirectory directory;

	private final Map<String, AllotmentLedger> ledgers = new HashMap<>();

	private final Map<String, Long> takenOverNanos = new HashMap<>();

	// When ledgers were handed over last, by workspace.
	private final Map<String, Long> handedOver = new HashMap<>();

	private final Map<String, HandoverRequests> handoverRequests = new HashMap<>();

	private long loanCount;

	private double lentTokens;

	private double returnedTokens;

	/**
	 * Creates a lender.
	 * @param runId a number that distinguishes this run of the instance from earlier ones
	 * @param address the peer address of this instance
	 * @param limits how far workspaces may exceed their allotments
	 * @param directory the lenders of the workspaces
	 */
	public AllotmentLender(long runId, String address, AllotmentLimits limits, LenderDirectory directory) {
		this.runId = runId;
		this.address = address;
		this.limits = limits;
		this.directory = directory;
	}

	/**
	 * Processes a message of a borrower or of a former lender.
	 * @param sender the peer address of the sender
	 * @param message the message
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<AllotmentEffect> receive(String sender, AllotmentMessage message, long nowNanos) {
		switch (message.getBodyCase()) {
			case REQUEST -> {
				return lend(sender, message, nowNanos);
			}
			case RETURN -> takeBack(sender, message, nowNanos);
			case HANDOVER -> takeOver(message, nowNanos);
			case HANDOVER_REQUEST -> {
				return handOverAsRequested(sender, message, nowNanos);
			}
			default -> {
				// Of a later version.
			}
		}
		return List.of();
	}

	private List<AllotmentEffect> lend(String sender, AllotmentMessage message, long nowNanos) {
		String workspace = message.getWorkspace();
		AllotmentMessage.Builder response = message.toBuilder().clearBody().clearTerms();
		if (!isLender(workspace)) {
			String lenderAddress = this.directory.lenderAddress(workspace);
			response.setLoan(Loan.newBuilder().setLenderAddress((lenderAddress != null) ? lenderAddress : ""));
			return List.of(new AllotmentEffect.Send(sender, response.build()));
		}
		boolean created = !this.ledgers.containsKey(workspace);
		AllotmentLedger ledger = ledger(workspace, message.getTerms(), nowNanos);
		List<AllotmentEffect> effects = new ArrayList<>();
		if (!ledger.isFull() && awaitsHandover(workspace, ledger, created, nowNanos, effects)) {
			return effects;
		}
		Loan.Builder loan = ledger.lend(message.getRequest(), sender, message.getRun(), message.getNumber(),
				message.getRequest().getLenderRun() == this.runId, nowNanos);
		if (loan != null) {
			this.loanCount++;
			this.lentTokens += loan.getTokens();
			effects.add(new AllotmentEffect.Send(sender, response.setLoan(loan.setLenderRun(this.runId)).build()));
		}
		return effects;
	}

	// The borrower asks again if it gets no answer.
	private boolean awaitsHandover(String workspace, AllotmentLedger ledger, boolean created, long nowNanos,
			List<AllotmentEffect> effects) {
		String formerAddress = this.directory.formerLenderAddress(workspace);
		HandoverRequests requests = this.handoverRequests.get(workspace);
		boolean recent = created || ledger.isTakingOver(nowNanos)
				|| (requests != null && nowNanos - requests.firstNanos() < HANDOVER_TIMEOUT_NANOS);
		if (formerAddress == null || !recent) {
			this.handoverRequests.remove(workspace);
			return false;
		}
		if (requests == null || nowNanos - requests.lastNanos() > HANDOVER_TIMEOUT_NANOS) {
			effects.add(new AllotmentEffect.Send(formerAddress,
					AllotmentMessage.newBuilder()
						.setWorkspace(workspace)
						.setTerms(ledger.terms())
						.setHandoverRequest(HandoverRequest.getDefaultInstance())
						.build()));
			requests = new HandoverRequests((requests != null) ? requests.firstNanos() : nowNanos, nowNanos);
			this.handoverRequests.put(workspace, requests);
		}
		return nowNanos - requests.firstNanos() < HANDOVER_TIMEOUT_NANOS;
	}

	// Tokens of which nothing is lent have no ledger. Answers only once.
	private List<AllotmentEffect> handOverAsRequested(String sender, AllotmentMessage message, long nowNanos) {
		String workspace = message.getWorkspace();
		if (!sender.equals(this.directory.lenderAddress(workspace)) || sender.equals(this.address)) {
			return List.of();
		}
		AllotmentLedger ledger = this.ledgers.remove(workspace);
		OptionalLong sinceNanos = this.directory.lenderSinceNanos(workspace, this.address);
		if (ledger == null && sinceNanos.isPresent() && !this.handedOver.containsKey(workspace)) {
			ledger = new AllotmentLedger(this.limits, message.getTerms(), sinceNanos.getAsLong(), nowNanos);
		}
		return (ledger != null) ? List.of(handOver(workspace, sender, ledger, nowNanos)) : List.of();
	}

	private AllotmentEffect handOver(String workspace, String lenderAddress, AllotmentLedger ledger, long nowNanos) {
		this.handedOver.put(workspace, nowNanos);
		return new AllotmentEffect.Send(lenderAddress,
				AllotmentMessage.newBuilder()
					.setWorkspace(workspace)
					.setTerms(ledger.terms())
					.setHandover(ledger.toHandover(nowNanos))
					.build());
	}

	private boolean isLender(String workspace) {
		return this.address.equals(this.directory.lenderAddress(workspace));
	}

	private AllotmentLedger ledger(String workspace, AllotmentTerms terms, long nowNanos) {
		AllotmentLedger ledger = this.ledgers.get(workspace);
		if (ledger == null) {
			ledger = newLedger(workspace, terms, nowNanos);
			this.ledgers.put(workspace, ledger);
		}
		ledger.updateTerms(terms, nowNanos);
		return ledger;
	}

	private AllotmentLedger newLedger(String workspace, AllotmentTerms terms, long nowNanos) {
		long sinceNanos = isLender(workspace)
				? this.directory.lenderSinceNanos(workspace, this.address).orElse(nowNanos) : nowNanos;
		return new AllotmentLedger(this.limits, terms, sinceNanos, nowNanos);
	}

	// Soon after a change of the lender a new ledger would lack the tokens handed over.
	private boolean isReplaceable(String workspace, AllotmentLedger ledger, long nowNanos) {
		return ledger.isUntouched(nowNanos) && newLedger(workspace, ledger.terms(), nowNanos).isFull();
	}

	private void takeBack(String sender, AllotmentMessage message, long nowNanos) {
		AllotmentLedger ledger = this.ledgers.get(message.getWorkspace());
		double tokens = message.getReturn().getTokens();
		if (ledger != null && ledger.takeBack(tokens, sender, message.getRun(), message.getNumber(), nowNanos)) {
			this.returnedTokens += tokens;
		}
	}

	private void takeOver(AllotmentMessage message, long nowNanos) {
		ledger(message.getWorkspace(), message.getTerms(), nowNanos).takeOver(message.getHandover(), nowNanos);
		this.handoverRequests.remove(message.getWorkspace());
		this.takenOverNanos.put(message.getWorkspace(), nowNanos);
	}

	/**
	 * Applies the terms of a workspace as of the rules of this instance.
	 * @param workspace the name of the workspace
	 * @param terms the allotment of the workspace
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void updateTerms(String workspace, AllotmentTerms terms, long nowNanos) {
		AllotmentLedger ledger = this.ledgers.get(workspace);
		if (ledger != null) {
			ledger.updateTerms(terms, nowNanos);
		}
	}

	/**
	 * Hands over what this instance is not the lender of any more, and forgets what
	 * nobody uses. To be called after the directory has changed, and at intervals.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<AllotmentEffect> tick(long nowNanos) {
		List<AllotmentEffect> effects = new ArrayList<>();
		this.handedOver.keySet().removeIf(this::isLender);
		this.handedOver.values().removeIf((sinceNanos) -> sinceNanos < nowNanos - AllotmentLedger.TAKEOVER_NANOS * 4);
		this.handoverRequests.keySet().retainAll(this.ledgers.keySet());
		this.takenOverNanos.values().removeIf((sinceNanos) -> sinceNanos < nowNanos - EARLY_HANDOVER_NANOS);
		this.ledgers.entrySet().removeIf((entry) -> {
			String workspace = entry.getKey();
			if (isLender(workspace)) {
				this.takenOverNanos.remove(workspace);
				return isReplaceable(workspace, entry.getValue(), nowNanos);
			}
			if (this.takenOverNanos.containsKey(workspace)) {
				return false;
			}
			String lenderAddress = this.directory.lenderAddress(workspace);
			if (lenderAddress != null) {
				effects.add(handOver(workspace, lenderAddress, entry.getValue(), nowNanos));
			}
			return true;
		});
		return effects;
	}

	/**
	 * Returns the loans made since this instance started.
	 * @return the number of loans, renewed ones included
	 */
	public long loanCount() {
		return this.loanCount;
	}

	/**
	 * Returns the tokens lent since this instance started.
	 * @return the number of tokens, without those that borrowers added by themselves
	 */
	public double lentTokens() {
		return this.lentTokens;
	}

	/**
	 * Returns the tokens that borrowers have returned since this instance started.
	 * @return the number of tokens
	 */
	public double returnedTokens() {
		return this.returnedTokens;
	}

	/**
	 * Returns the number of workspaces of which tokens are lent or used up.
	 * @return the number of workspaces
	 */
	public int workspaceCount() {
		return this.ledgers.size();
	}

	private record HandoverRequests(long firstNanos, long lastNanos) {
	}

}
