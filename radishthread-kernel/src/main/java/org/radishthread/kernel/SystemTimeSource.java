package org.radishthread.kernel;

/**
 * A {@link TimeSource} that reads the clocks of the operating system.
 */
public final class SystemTimeSource implements TimeSource {

	@Override
	public long monotonicNanos() {
		return System.nanoTime();
	}

	@Override
	public long wallClockMillis() {
		return System.currentTimeMillis();
	}

}
