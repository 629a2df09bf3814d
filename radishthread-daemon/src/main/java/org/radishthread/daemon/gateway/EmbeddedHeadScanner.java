package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Predicate;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpTokens;
import org.jspecify.annotations.Nullable;

/**
 * Searches the bytes of a body for the head of another response. The bytes may arrive in
 * any pieces. A head counts if its syntax is complete (RFC 9112) and its headers satisfy
 * a condition; text that merely resembles a head is passed over. Holds at most the
 * largest head. Not safe for concurrent use.
 */
final class EmbeddedHeadScanner {

	// Larger heads are not recognized.
	private static final int MAXIMUM_HEAD_BYTES = 16 * 1_024;

	private static final byte[] MARKER = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);

	// The length of the start of a status line, such as "HTTP/1.1 200".
	private static final int STATUS_LINE_START_LENGTH = 12;

	private final Predicate<HttpFields> condition;

	// The bytes in which a head may have begun.
	private byte[] pending = {};

	// How many bytes of the body precede the pending ones.
	private long pendingOffset;

	/**
	 * Creates a scanner.
	 * @param condition tells from its headers whether a head counts
	 */
	EmbeddedHeadScanner(Predicate<HttpFields> condition) {
		this.condition = condition;
	}

	/**
	 * Examines the next bytes of the body.
	 * @param bytes the bytes
	 * @return the first head that counts, or {@code null} if none is complete yet
	 */
	@Nullable EmbeddedHead scan(byte[] bytes) {
		int pendingLength = this.pending.length;
		byte[] window = Arrays.copyOf(this.pending, pendingLength + bytes.length);
		System.arraycopy(bytes, 0, window, pendingLength, bytes.length);
		int start = indexOfMarker(window, 0);
		while (start >= 0) {
			HeadParser parser = new HeadParser(window, start);
			parser.parse();
			if (parser.isUnfinished() && window.length - start <= MAXIMUM_HEAD_BYTES) {
				keepFrom(window, start);
				return null;
			}
			if (parser.isComplete() && this.condition.test(parser.headers())) {
				return new EmbeddedHead(this.pendingOffset + start, this.pendingOffset + parser.position());
			}
			start = indexOfMarker(window, start + 1);
		}
		keepFrom(window, Math.max(0, window.length - (MARKER.length - 1)));
		return null;
	}

	/**
	 * Returns the headers of a head that began and was not complete after the last bytes.
	 * @return the complete lines of the head, empty if there is none
	 */
	HttpFields unfinishedHeaders() {
		HeadParser parser = new HeadParser(this.pending, 0);
		if (indexOfMarker(this.pending, 0) == 0) {
			parser.parse();
		}
		return parser.headers();
	}

	private void keepFrom(byte[] window, int start) {
		this.pending = Arrays.copyOfRange(window, start, window.length);
		this.pendingOffset += start;
	}

	private static int indexOfMarker(byte[] window, int from) {
		for (int i = from; i <= window.length - MARKER.length; i++) {
			if (window[i] == MARKER[0] && Arrays.equals(window, i, i + MARKER.length, MARKER, 0, MARKER.length)) {
				return i;
			}
		}
		return -1;
	}

	/**
	 * The place of a head in a body.
	 *
	 * @param start the number of bytes that precede it
	 * @param end the number of bytes up to its end
	 */
	record EmbeddedHead(long start, long end) {
	}

	/**
	 * Parses one head.
	 */
	private static final class HeadParser {

		private final byte[] window;

		private final HttpFields.Mutable headers = HttpFields.build();

		private int position;

		private State state = State.UNFINISHED;

		private HeadParser(byte[] window, int start) {
			this.window = window;
			this.position = start;
		}

		private void parse() {
			String line = nextLine();
			if (line != null && !isStatusLine(line)) {
				this.state = State.INVALID;
			}
			while (line != null && this.state == State.UNFINISHED) {
				line = nextLine();
				if (line != null) {
					parseHeaderLine(line);
				}
			}
		}

		// Returns null if the bytes end before the line does.
		private @Nullable String nextLine() {
			for (int i = this.position; i < this.window.length; i++) {
				if (this.window[i] == '\n') {
					int end = (i > this.position && this.window[i - 1] == '\r') ? i - 1 : i;
					String line = new String(this.window, this.position, end - this.position,
							StandardCharsets.ISO_8859_1);
					this.position = i + 1;
					return line;
				}
			}
			return null;
		}

		private static boolean isStatusLine(String line) {
			if (line.length() < STATUS_LINE_START_LENGTH || line.charAt(MARKER.length + 1) != ' ') {
				return false;
			}
			boolean digits = Character.isDigit(line.charAt(MARKER.length))
					&& line.substring(MARKER.length + 2, STATUS_LINE_START_LENGTH).chars().allMatch(Character::isDigit);
			return digits
					&& (line.length() == STATUS_LINE_START_LENGTH || line.charAt(STATUS_LINE_START_LENGTH) == ' ');
		}

		private void parseHeaderLine(String line) {
			if (line.isEmpty()) {
				this.state = State.COMPLETE;
				return;
			}
			int colon = line.indexOf(':');
			if (colon <= 0 || !line.chars().limit(colon).allMatch(HeadParser::isTokenCharacter)) {
				this.state = State.INVALID;
				return;
			}
			this.headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
		}

		private static boolean isTokenCharacter(int character) {
			HttpTokens.Token token = HttpTokens.getToken((byte) character);
			return token != null && token.isRfc2616Token();
		}

		private boolean isUnfinished() {
			return this.state == State.UNFINISHED;
		}

		private boolean isComplete() {
			return this.state == State.COMPLETE;
		}

		private HttpFields headers() {
			return this.headers;
		}

		private int position() {
			return this.position;
		}

		/**
		 * Result of the lines that have been parsed.
		 */
		private enum State {

			UNFINISHED, COMPLETE, INVALID

		}

	}

}
