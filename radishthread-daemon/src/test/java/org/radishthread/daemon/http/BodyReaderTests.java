package org.radishthread.daemon.http;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletionException;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link BodyReader} and {@link BufferBudget}.
 */
class BodyReaderTests {

	private static final int BUDGET_BYTES = 1_000;

	private final BufferBudget budget = new BufferBudget(BUDGET_BYTES);

	private static Content.Source body(int bytes) {
		return new ByteBufferContentSource(ByteBuffer.allocate(bytes / 2), ByteBuffer.allocate(bytes - bytes / 2));
	}

	private byte[] read(int bytes, int maximumBytes) {
		return BodyReader.read(body(bytes), maximumBytes, this.budget.newReservation()).join();
	}

	@Nested
	class ManyBodies {

		// Guards against uploads that exhaust the heap together, each of them being small
		// enough by itself.
		@Test
		void bodyBeyondTheBudgetOfAllIsRefused() {
			assertThat(read(600, 600)).hasSize(600);
			assertThatExceptionOfType(CompletionException.class).isThrownBy(() -> read(600, 600))
				.withCauseInstanceOf(BufferBudgetException.class);
		}

		@Test
		void releasedBytesAreAvailableAgain() {
			BufferBudget.Reservation reservation = BodyReaderTests.this.budget.newReservation();
			assertThat(BodyReader.read(body(600), 600, reservation).join()).hasSize(600);
			reservation.release();
			reservation.release();
			assertThat(BodyReaderTests.this.budget.reservedBytes()).isZero();
			assertThat(reservation.tryReserve(1)).as("after the release").isFalse();
			assertThat(read(600, 600)).hasSize(600);
		}

		@Test
		void bytesThatWereReservedBeforeCountOnce() {
			BufferBudget.Reservation reservation = BodyReaderTests.this.budget.newReservation();
			assertThat(reservation.tryReserve(600)).isTrue();
			assertThat(BodyReader.read(body(900), 900, reservation, 600).join()).hasSize(900);
			assertThat(BodyReaderTests.this.budget.reservedBytes()).isEqualTo(900);
		}

	}

	@Nested
	class OneBody {

		@Test
		void bodyBeyondItsMaximumSizeIsRefused() {
			assertThatExceptionOfType(CompletionException.class).isThrownBy(() -> read(101, 100))
				.withCauseInstanceOf(BodyTooLargeException.class);
		}

		@Test
		void emptyBodyIsRead() {
			assertThat(read(0, 0)).isEmpty();
		}

	}

}
