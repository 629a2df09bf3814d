package org.radishthread.agreement;

import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Backoff;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.NotLeader;

/**
 * Runs a {@link ControlReplica} on its stored log, and executes its effects in the
 * required order: messages that depend on a log write are sent only after the write is
 * durable. All commands received between two calls of {@link #flush} share one
 * synchronous write (group commit).
 * <p>
 * After a failed write it is unknown what the disk holds. The replica is then closed
 * without sending what depends on the write, and the log is read again after a pause, as
 * after a restart of the process. The pause grows while the disk still refuses writes.
 * Not thread-safe.
 */
public final class ControlReplicaDriver {

	/**
	 * The pause between a failed write and the first attempt to open the log again, in
	 * milliseconds.
	 */
	static final long FIRST_REOPENING_DELAY_MILLIS = 100;

	/**
	 * The longest pause between two attempts to open the log again, in milliseconds.
	 */
	static final long MAXIMUM_REOPENING_DELAY_MILLIS = 1_600;

	private final Function<StoredLog, ControlReplica> replicaFactory;

	private final LogStorage storage;

	private final ControlReplicaOutput output;

	private final Backoff reopeningDelay = new Backoff(FIRST_REOPENING_DELAY_MILLIS, MAXIMUM_REOPENING_DELAY_MILLIS);

	private long nextReopeningMillis;

	// Null while the log is not open.
	private @Nullable ControlReplica replica;

	/**
	 * Opens the log.
	 * @param replicaFactory creates the replica from the stored log
	 * @param storage the storage of the log
	 * @param output receives the effects other than log writes
	 * @throws AgreementException if the log cannot be read
	 */
	public ControlReplicaDriver(Function<StoredLog, ControlReplica> replicaFactory, LogStorage storage,
			ControlReplicaOutput output) {
		this.replicaFactory = replicaFactory;
		this.storage = storage;
		this.output = output;
		this.replica = replicaFactory.apply(storage.load());
	}

	/**
	 * Returns the replica.
	 * @return the replica, or {@code null} while the log cannot be written
	 */
	public @Nullable ControlReplica replica() {
		return this.replica;
	}

	/**
	 * Processes timeouts, and opens the log again if that is due. Must be called
	 * regularly.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @throws CorruptLogException if the log is damaged
	 */
	public void tick(long nowMillis) {
		if (this.replica == null && nowMillis >= this.nextReopeningMillis) {
			reopen(nowMillis);
		}
		withReplica((openReplica) -> openReplica.tick(nowMillis));
	}

	/**
	 * Passes an event to the replica. It is dropped while the log cannot be written.
	 * @param event the event
	 */
	public void withReplica(Consumer<ControlReplica> event) {
		if (this.replica != null) {
			event.accept(this.replica);
		}
	}

	/**
	 * Processes a request, see {@link ControlReplica#handleRequest}. While the log cannot
	 * be written, the requester is told to ask another control instance.
	 * @param requester identifies the sender of the request
	 * @param request the request
	 * @param nowMillis the monotonic time, in milliseconds
	 * @param wallClockMillis the wall-clock time, in milliseconds since the epoch
	 */
	public void handleRequest(String requester, ControlRequest request, long nowMillis, long wallClockMillis) {
		if (this.replica != null) {
			this.replica.handleRequest(requester, request, nowMillis, wallClockMillis);
			return;
		}
		this.output.reply(requester,
				ControlResponse.newBuilder()
					.setId(request.getId())
					.setNotLeader(NotLeader.newBuilder().setReason("log-unavailable"))
					.build());
	}

	/**
	 * Executes effects until none are pending.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void flush(long nowMillis) {
		ControlReplica openReplica = this.replica;
		if (openReplica == null) {
			return;
		}
		try {
			flush(openReplica, nowMillis);
		}
		catch (AgreementException ex) {
			close(ex, nowMillis);
		}
	}

	private void flush(ControlReplica openReplica, long nowMillis) {
		ControlReplicaEffects effects = openReplica.drain(nowMillis);
		while (!effects.isEmpty()) {
			execute(effects);
			openReplica.onLogSynced(nowMillis);
			effects = openReplica.drain(nowMillis);
		}
		this.reopeningDelay.reset();
	}

	private void execute(ControlReplicaEffects effects) {
		effects.immediateMessages().forEach(this.output::send);
		writeLog(effects);
		effects.messagesAfterSync().forEach(this.output::send);
		if (effects.rulesToPublish() != null) {
			this.output.publishRules(effects.rulesToPublish());
		}
		if (effects.evacuationsToPublish() != null) {
			this.output.publishEvacuations(effects.evacuationsToPublish());
		}
		effects.replies().forEach((reply) -> this.output.reply(reply.requester(), reply.response()));
	}

	private void writeLog(ControlReplicaEffects effects) {
		if (effects.logContent() != null) {
			this.storage.replace(effects.logContent());
		}
		else if (!effects.logFrames().isEmpty()) {
			this.storage.append(effects.logFrames());
		}
	}

	private void close(AgreementException failure, long nowMillis) {
		this.replica = null;
		long delayMillis = this.reopeningDelay.nextMillis();
		this.nextReopeningMillis = nowMillis + delayMillis;
		this.output.logClosed(failure, delayMillis);
	}

	// Writes the content to a new file before it is used: after a failed sync, a file may
	// return data that never reached the disk, and a further sync of it proves nothing.
	private void reopen(long nowMillis) {
		try {
			StoredLog storedLog = this.storage.load();
			if (!storedLog.equals(StoredLog.EMPTY)) {
				this.storage.replace(storedLog);
			}
			this.replica = this.replicaFactory.apply(storedLog);
			this.output.logReopened();
		}
		catch (CorruptLogException ex) {
			throw ex;
		}
		catch (AgreementException ex) {
			close(ex, nowMillis);
		}
	}

}
