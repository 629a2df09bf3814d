package org.radishthread.kernel;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link Backoff}.
 */
class BackoffTests {

	private final Backoff backoff = new Backoff(100, 500);

	@Test
	void intervalsDoubleUpToTheMaximum() {
		assertThat(LongStream.generate(this.backoff::nextMillis).limit(5)).containsExactly(100L, 200L, 400L, 500L,
				500L);
	}

	@Test
	void resetStartsWithTheFirstInterval() {
		this.backoff.nextMillis();
		this.backoff.nextMillis();
		this.backoff.reset();
		assertThat(this.backoff.nextMillis()).isEqualTo(100);
	}

	@Test
	void intervalsThatCannotGrowAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new Backoff(0, 500));
		assertThatIllegalArgumentException().isThrownBy(() -> new Backoff(600, 500));
	}

}
