package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;

/**
 * In-memory {@link LogStorage} that can simulate a crash directly before or after a write
 * becomes durable.
 */
final class FakeLogStorage implements LogStorage {

	private StoredLog content = StoredLog.EMPTY;

	private CrashPoint crashPoint = CrashPoint.NONE;

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
			throw new AgreementException("The instance crashed before the write was durable.");
		}
		this.content = newContent;
		this.writeCount++;
		if (this.crashPoint == CrashPoint.AFTER_WRITE) {
			throw new AgreementException("The instance crashed after the write was durable.");
		}
	}

	void crashAtNextWrite(CrashPoint newCrashPoint) {
		this.crashPoint = newCrashPoint;
	}

	enum CrashPoint {

		NONE, BEFORE_WRITE, AFTER_WRITE

	}

}
