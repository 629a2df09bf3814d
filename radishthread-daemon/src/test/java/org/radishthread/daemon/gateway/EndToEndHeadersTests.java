package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndToEndHeaders}.
 */
class EndToEndHeadersTests {

	private static final HttpFields CALLER_HEADERS = HttpFields.build()
		.add("Accept", "text/plain")
		.add("RADISHTHREAD-KEY", "k-1")
		.add("Radishthread-Workspace", "forged")
		.add("Radishthread-Key", "k-2");

	private static HttpFields copy(boolean includeWorkspaceHeaders) {
		HttpFields.Mutable target = HttpFields.build();
		EndToEndHeaders.copyRequestHeaders(new DefaultHttpDialect(), includeWorkspaceHeaders, CALLER_HEADERS, target);
		return target;
	}

	@Test
	void keysAndNamesOfWorkspacesAreLeftOut() {
		assertThat(copy(false).getFieldNamesCollection()).containsExactly("Accept");
	}

	// Guards against a kept connection to an upstream that holds, by a field of its last
	// request, the parser and the buffers of a closed connection of a caller.
	@Test
	void copiedFieldsDoNotReferToTheParserOfTheirConnection() {
		HttpFields source = HttpFields.build().add(new ParsedField("Accept", "text/plain"));
		HttpFields.Mutable target = HttpFields.build();
		EndToEndHeaders.copyRequestHeaders(new DefaultHttpDialect(), true, source, target);
		assertThat(target).singleElement().isExactlyInstanceOf(HttpField.class);
		assertThat(target.get("Accept")).isEqualTo("text/plain");
	}

	@Test
	void rulesWithoutWorkspacesForwardTheSameHeadersAsBefore() {
		assertThat(copy(true)).hasSize(4);
	}

	private static final class ParsedField extends HttpField {

		private ParsedField(String name, String value) {
			super(name, value);
		}

	}

}
