package org.radishthread.kernel;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link NetworkAddress}.
 */
class NetworkAddressTests {

	@ParameterizedTest
	@ValueSource(strings = { "10.128.0.9:8080", "0.0.0.0:0", "255.255.255.255:65535", "[::1]:80", "[fd00::7:1]:443",
			"[::ffff:10.0.0.1]:80" })
	void addressIsWrittenAsItWasRead(String text) {
		assertThat(NetworkAddress.parse(text)).hasToString(text);
	}

	// An entry of another writer named an address that no connection can be opened to.
	@ParameterizedTest
	@ValueSource(strings = { "999.1.1.1:80", "....:80", "1.2.3:80", "1.2.3.4.5:80", "1.2.3.4444:80", "[:::::]:80",
			"[1::2::3]:80", "[12345::]:80", "[fe80::1%eth0]:80", "1..2.3:80", ".1.2.3:80", "1.2.3.:80", "1.2.3.+4:80",
			"10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:99999999999", "10.0.0.1:", "10.0.0.1", "nowhere:80", ":80", "" })
	void otherTextsAreRejected(String text) {
		assertThatThrownBy(() -> NetworkAddress.parse(text)).isInstanceOf(IllegalArgumentException.class);
	}

}
