package org.radishthread.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.agreement.GroupSettings;
import org.radishthread.kernel.FindingsException;
import org.radishthread.routing.ColdStartLimits;
import org.radishthread.routing.RetryLimits;
import org.radishthread.routing.SlotRequester;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final String VALID = """
			instance: north-1
			zone: bastrop
			roles: [gateway, control]
			listen:
			  caller: 127.0.0.1:8080
			  administration: 127.0.0.1:9080
			  peer: "[::1]:7080"
			seeds: ["127.0.0.1:7080"]
			data: data
			secrets: {peer: token, administration: token, announcement: token}
			""";

	@TempDir
	private Path folder;

	@BeforeEach
	void writeToken() throws IOException {
		Files.writeString(this.folder.resolve("token"), "long-enough\n");
	}

	private DaemonSettings read(String content) throws IOException {
		Path file = this.folder.resolve("settings.yaml");
		Files.writeString(file, content);
		return SettingsReader.read(file);
	}

	private String findings(String content) {
		FindingsException failure = catchThrowableOfType(FindingsException.class, () -> read(content));
		return failure.getMessage().replace(this.folder.toString(), "FOLDER");
	}

	@Nested
	class ValidFiles {

		@Test
		void valuesAreRead() throws IOException {
			DaemonSettings settings = read(VALID);
			assertThat(settings.instance()).isEqualTo("north-1");
			assertThat(settings.isControl()).isTrue();
			assertThat(settings.peerAddress()).hasToString("[::1]:7080");
			assertThat(settings.secrets().peer()).isEqualTo("long-enough");
			assertThat(settings.secrets()).hasToString("Secrets[hidden]");
		}

		@Test
		void instanceListensAtItsPeerAddressUnlessAnotherAddressIsStated() throws IOException {
			DaemonSettings translated = read(VALID.replace("  peer:", "  peer-bind: 127.0.0.1:7081\n  peer:"));
			assertThat(read(VALID).peerBindAddress()).hasToString("[::1]:7080");
			assertThat(translated.peerBindAddress()).hasToString("127.0.0.1:7081");
			assertThat(translated.peerAddress()).hasToString("[::1]:7080");
		}

		@Test
		void rolesAreNamedInLowerCase() throws IOException {
			String gateway = VALID.replace("[gateway, control]", "[gateway]");
			String control = VALID.replace("[gateway, control]", "[control]").replace("  caller: 127.0.0.1:8080\n", "");
			assertThat(read(gateway).roles()).containsExactly(Role.GATEWAY);
			assertThat(read(control).roles()).containsExactly(Role.CONTROL);
			assertThat(Role.values()).extracting(Role::name).containsExactly("GATEWAY", "CONTROL");
		}

	}

	@Nested
	class Bounds {

		// A deployment that states none of the bounds of a section leaves it empty.
		@ParameterizedTest
		@ValueSource(strings = { "retries", "keys", "allotments", "cold-starts" })
		void sectionWithoutValuesHasTheDefaults(String section) throws IOException {
			assertThat(read(VALID + section + ":\n  \n")).isEqualTo(read(VALID));
		}

		@Test
		void keySettingsAreRead() throws IOException {
			assertThat(read(VALID + "keys: {fail-closed: true, revoke-millis: 7000}\n").keys())
				.isEqualTo(new DaemonSettings.KeySettings(true, 7_000));
			assertThat(read(VALID).keys().failClosed()).isFalse();
		}

		@Test
		void retryLimitsAreRead() throws IOException {
			String retries = "retries: {ratio: 0.35, slack: 216, window-seconds: 15}\n";
			assertThat(read(VALID + retries).routerSettings().retryLimits()).isEqualTo(new RetryLimits(0.35, 216, 15));
			assertThat(read(VALID).routerSettings().retryLimits()).isEqualTo(RetryLimits.DEFAULTS);
		}

		// Guards against instances that do not start, since a bound of the platform is
		// not an integer. A deployment that states none of the bounds of a section
		// leaves it empty.
		@Test
		void emptySectionHasTheDefaults() throws IOException {
			DaemonSettings settings = read(VALID + "keys:\nallotments: {}\ncold-starts:\ngroup:\n");
			assertThat(settings.group()).isEqualTo(GroupSettings.DEFAULTS);
			assertThat(settings.keys()).isEqualTo(read(VALID).keys());
			assertThat(settings.routerSettings().coldStartLimits()).isEqualTo(ColdStartLimits.DEFAULTS);
		}

		@Test
		void groupSettingsAreRead() throws IOException {
			DaemonSettings settings = read(VALID + "group: {tolerated-losses: 2, catch-up-seconds: 4.5}\n");
			assertThat(settings.group()).isEqualTo(new GroupSettings(2, 4_500));
		}

		@Test
		void boundsMayBeFractions() throws IOException {
			DaemonSettings settings = read(VALID + "retries: {ratio: 0.2, slack: 24.43, window-seconds: 7.5}\n"
					+ "limits: {notice-millis: 2600, grace-seconds: 6.5, acknowledgement-millis: 4000.0, "
					+ "apply-millis: 1500.4, departure-apply-millis: 1200.6, processor-share: 1.5}\n");
			assertThat(settings.routerSettings().retryLimits()).isEqualTo(new RetryLimits(0.2, 24.43, 7.5));
			assertThat(settings.limits().shutdownTimeoutMillis()).isEqualTo(3_600);
			assertThat(settings.limits().rulePropagationTimeoutMillis()).isEqualTo(600);
			assertThat(settings.limits().rulesApplyMillis()).isEqualTo(1_500);
			assertThat(settings.limits().departureApplyMillis()).isEqualTo(1_201);
		}

		@ParameterizedTest
		@CsvSource({ "6, 3100", "10, 7100", "3, 100" })
		void openRequestsAreCompletedWithinTheGracePeriod(int graceSeconds, long expectedMillis) throws IOException {
			DaemonSettings.Limits limits = read(
					VALID + "limits: {notice-millis: 2600, grace-seconds: " + graceSeconds + "}\n")
				.limits();
			assertThat(limits.shutdownTimeoutMillis()).isEqualTo(expectedMillis);
			assertThat(read(VALID).limits().shutdownTimeoutMillis()).isZero();
		}

		@ParameterizedTest
		@CsvSource({ "4000, 600", "2000, 300", "16000, 2400" })
		void waitForLiveInstancesIsAShareOfTheAcknowledgementTime(long acknowledgementMillis, long expectedMillis)
				throws IOException {
			DaemonSettings.Limits limits = read(
					VALID + "limits: {acknowledgement-millis: " + acknowledgementMillis + "}\n")
				.limits();
			assertThat(limits.rulePropagationTimeoutMillis()).isEqualTo(expectedMillis);
		}

		@ParameterizedTest
		@CsvSource({ "0.6, 1000, 300", "0.3, 2.4, 50", "1, 1000, 500" })
		void paceProbesAreLimitedByProcessorAndLink(double processorShare, double megabits, double expectedRate)
				throws IOException {
			DaemonSettings settings = read(
					VALID + "limits: {processor-share: " + processorShare + ", link-megabits: " + megabits + "}\n");
			assertThat(settings.routerSettings().paceProbesPerSecond()).isCloseTo(expectedRate, within(0.001));
		}

		// Guards against homes that count as unavailable whenever a body occupies their
		// link.
		@ParameterizedTest
		@CsvSource({ "1000, 151", "3.8, 426", "0.1, 650" })
		void homeMayRespondAfterABodyHasPassedItsLink(double megabits, long expectedMillis) throws IOException {
			DaemonSettings settings = read(VALID + "limits: {link-megabits: " + megabits + "}\n");
			assertThat(settings.routerSettings().homeResponseTimeout()).hasMillis(expectedMillis);
			assertThat(read(VALID).routerSettings().homeResponseTimeout())
				.isEqualTo(SlotRequester.MINIMUM_RESPONSE_TIMEOUT);
		}

		@ParameterizedTest
		@ValueSource(strings = { "{ratio: 1.5}", "{ratio: much}", "{slack: -1}", "{window-seconds: 0}", "{burst: 1}" })
		void invalidRetryLimitsAreFindings(String retries) {
			assertThat(findings(VALID + "retries: " + retries + "\n")).contains("retries.");
		}

	}

	@Nested
	class InvalidFiles {

		@Test
		void findingsAreReportedTogetherWithFileLineAndPath() {
			Approvals.verify(findings("""
					instance: North
					roles: [gateway, butler]
					listen:
					  caller: somewhere:80
					  administration: 127.0.0.1:99999
					  door: 127.0.0.1:1
					seeds: 127.0.0.1:7080
					secrets: {peer: missing, administration: token, announcement: token}
					limits:
					  held-answer-bytes: lots
					  maximum-instances: 0
					colour: red
					colour: blue
					"""));
		}

		@Test
		void malformedYamlIsReportedAsFinding() {
			assertThat(findings("instance: [north\n")).contains("Not valid YAML");
			assertThat(findings("- a\n- b\n")).contains("A mapping of settings is expected");
		}

	}

}
