package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.radishthread.daemon.gateway.EmbeddedHeadScanner.EmbeddedHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link EmbeddedHeadScanner}: a repeated response is found wherever it
 * begins and however its bytes arrive, and nothing else is taken for one.
 */
class EmbeddedHeadScannerProperties {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Type: text/plain\r\n\r\n";

	private static EmbeddedHeadScanner scanner() {
		return new EmbeddedHeadScanner((headers) -> "r-1".equals(headers.get("X-Id")));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static EmbeddedHead scanInPieces(byte[] body, List<Integer> sizes) {
		EmbeddedHeadScanner scanner = scanner();
		int position = 0;
		for (int i = 0; position < body.length; i++) {
			int end = Math.min(body.length, position + sizes.get(i % sizes.size()));
			EmbeddedHead head = scanner.scan(Arrays.copyOfRange(body, position, end));
			if (head != null) {
				return head;
			}
			position = end;
		}
		return null;
	}

	// Text that resembles heads, without one that names the request.
	@Provide
	Arbitrary<String> texts() {
		return Arbitraries
			.of("HTTP/1.", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 404 No\r\nX-Id: r-2\r\n\r\n",
					" X-Id: r-1 ", "H", "HTT", "\r\n", "\n", "a: b\r\n", "text ", "\r\n\r\n")
			.list()
			.ofMaxSize(30)
			.map((parts) -> String.join("", parts));
	}

	@Property(tries = 2_000)
	void repeatedHeadIsFoundHoweverItsBytesArrive(@ForAll("texts") String before, @ForAll("texts") String after,
			@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 60) Integer> sizes) {
		// A line end, so that the text before it can't begin a head of which this is a
		// part.
		String first = before + "\r\n\r\n";
		EmbeddedHead head = scanInPieces(bytes(first + HEAD + after), sizes);
		assertThat(head).isEqualTo(new EmbeddedHead(first.length(), first.length() + HEAD.length()));
	}

	@Property(tries = 2_000)
	void textThatQuotesOtherHeadsIsPassedOver(@ForAll("texts") String text,
			@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 60) Integer> sizes) {
		assertThat(scanInPieces(bytes(text), sizes)).isNull();
	}

	@Example
	void headsWithOtherLineEndsAreFound() {
		assertThat(scanner().scan(bytes("body" + HEAD.replace("\r\n", "\n")))).isNotNull();
	}

	@Example
	void textWithoutAStatusLineIsNoHead() {
		for (String line : List.of("HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1", "HTTP/1.x 200 OK", "HTTP/2 200")) {
			assertThat(scanner().scan(bytes(HEAD.replace("HTTP/1.1 200 OK", line)))).as(line).isNull();
		}
	}

	@Example
	void unfinishedHeadIsTold() {
		EmbeddedHeadScanner scanner = scanner();
		assertThat(scanner.scan(bytes("body" + HEAD.substring(0, HEAD.length() - 2)))).isNull();
		assertThat(scanner.unfinishedHeaders().get("X-Id")).isEqualTo("r-1");
	}

	// Guards against a head without end that is held for as long as it goes on.
	@Example
	void headBeyondItsMaximumSizeIsPassedOver() {
		EmbeddedHeadScanner scanner = scanner();
		scanner.scan(bytes("HTTP/1.1 200 OK\r\n" + "a: b\r\n".repeat(4_000)));
		assertThat(scanner.unfinishedHeaders().size()).isZero();
		assertThat(scanner.scan(bytes("\r\n" + HEAD))).isNotNull();
	}

}
