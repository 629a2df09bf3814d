package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;

/**
 * A disk in memory that can crash its instance before or after a write became durable.
 */
final class FakeDisk implements LogStorage {

	private StoredLog content = StoredLog.EMPTY;

	private Crash crash = Crash.NONE;

	int writes;

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
	public void replace(StoredLog replacement) {
		write(replacement);
	}

	private void write(StoredLog written) {
		if (this.crash == Crash.BEFORE_WRITE) {
			throw new AgreementException("The instance crashed before the write was durable.");
		}
		this.content = written;
		this.writes++;
		if (this.crash == Crash.AFTER_WRITE) {
			throw new AgreementException("The instance crashed after the write was durable.");
		}
	}

	void crashAtNextWrite(Crash when) {
		this.crash = when;
	}

	enum Crash {

		NONE, BEFORE_WRITE, AFTER_WRITE

	}

}
