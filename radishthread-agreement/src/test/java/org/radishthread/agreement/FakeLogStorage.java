package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;

/**
 * In-memory {@link LogStorage} that can simulate a crash directly before or after a write
 * becomes durable, and a disk that refuses writes.
 */
final class FakeLogStorage implements LogStorage {

	private StoredLog content = StoredLog.EMPTY;

	private CrashPoint crashPoint = CrashPoint.NONE;

	private Refusal refusal = Refusal.NONE;

	int writeCount;

	int bytesWritten;

	@Override
	public StoredLog load() {
		return this.content;
	}

	@Override
	public void append(List<LogFrame> frames) {
		HardState hardState = this.content.hardState();
		List<LogEntry> entries = new ArrayList<>(this.content.entries());
		for (LogFrame frame : frames) {
			hardState = frame.hasHardState() ? frame.getHardState() : hardState;
			if (frame.getTruncateFrom() > 0) {
				entries.removeIf((entry) -> entry.getIndex() >= frame.getTruncateFrom());
			}
			entries.addAll(frame.getEntriesList());
		}
		write(new StoredLog(hardState, this.content.snapshot(), List.copyOf(entries)));
	}

	@Override
	public void replace(StoredLog newContent) {
		write(newContent);
	}

	private void write(StoredLog newContent) {
		if (this.crashPoint == CrashPoint.BEFORE_WRITE) {
			throw new SimulatedCrashException("The instance crashed before the write was durable.");
		}
		if (this.refusal == Refusal.OF_WRITES) {
			throw new AgreementException("The disk refused a write.");
		}
		this.content = newContent;
		this.writeCount++;
		if (this.refusal == Refusal.OF_SYNCS) {
			throw new AgreementException("The disk refused a sync.");
		}
		if (this.crashPoint == CrashPoint.AFTER_WRITE) {
			throw new SimulatedCrashException("The instance crashed after the write was durable.");
		}
	}

	void crashAtNextWrite(CrashPoint newCrashPoint) {
		this.crashPoint = newCrashPoint;
	}

	void refuse(Refusal newRefusal) {
		this.refusal = newRefusal;
	}

	enum CrashPoint {

		NONE, BEFORE_WRITE, AFTER_WRITE

	}

	/**
	 * What a faulty disk refuses. Content whose sync was refused may be read later.
	 */
	enum Refusal {

		NONE, OF_WRITES, OF_SYNCS

	}

	/**
	 * Ends an instance that crashes during a write.
	 */
	static final class SimulatedCrashException extends RuntimeException {

		private SimulatedCrashException(String message) {
			super(message);
		}

	}

}
