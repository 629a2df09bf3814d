package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import org.radishthread.daemon.gateway.HttpDialect.AttemptDetails;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DefaultHttpDialect}.
 */
class DefaultHttpDialectTests {

	private final DefaultHttpDialect dialect = new DefaultHttpDialect();

	private HttpFields attemptHeaders(AttemptDetails details) {
		HttpFields.Mutable headers = HttpFields.build();
		this.dialect.addAttemptHeaders(headers, details);
		return headers;
	}

	@Test
	void attemptCarriesTheNameOfTheWorkspaceIfThereIsOne() {
		assertThat(
				attemptHeaders(new AttemptDetails("r-1", 740, "i-7", "maps")).getValuesList("Radishthread-Workspace"))
			.containsExactly("maps");
		assertThat(attemptHeaders(new AttemptDetails("r-1", 740, "i-7", null)).getFieldNamesCollection())
			.containsExactlyInAnyOrder("Radishthread-Request", "Radishthread-Deadline");
	}

	@Test
	void eachHeaderForKeysCounts() {
		assertThat(this.dialect
			.callerKeys(HttpFields.build().add("radishthread-key", "k-1").add("Radishthread-Key", "k-1")))
			.containsExactly("k-1", "k-1");
		assertThat(this.dialect.callerKeys(HttpFields.EMPTY)).isEmpty();
	}

}
