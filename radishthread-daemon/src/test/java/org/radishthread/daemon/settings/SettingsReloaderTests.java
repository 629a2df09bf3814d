package org.radishthread.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SettingsReloader}.
 */
class SettingsReloaderTests {

	private static final String SETTINGS = """
			instance: north-1
			zone: bastrop
			roles: [gateway]
			listen: {caller: "127.0.0.1:1", administration: "127.0.0.1:2", peer: "127.0.0.1:3"}
			seeds: ["127.0.0.1:%d"]
			secrets: {peer: token, administration: token, announcement: token}
			""";

	@TempDir
	private Path folder;

	private final BlockingQueue<DaemonSettings> reloadedSettings = new LinkedBlockingQueue<>();

	private SettingsReloader reloader;

	@BeforeEach
	void start() throws IOException {
		Files.writeString(this.folder.resolve("token"), "long-enough");
		write(SETTINGS.formatted(10), 1_000);
		this.reloader = new SettingsReloader(this.folder.resolve("settings.yaml"), this.reloadedSettings::add);
		this.reloader.start();
	}

	@AfterEach
	void stop() {
		this.reloader.stop();
	}

	private void write(String text, long modifiedMillis) throws IOException {
		Path file = this.folder.resolve("settings.yaml");
		Files.writeString(file, text);
		Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMillis));
	}

	@Nested
	class Triggers {

		@Test
		void modifiedFileIsReloaded() throws Exception {
			write(SETTINGS.formatted(11), 2_000);
			DaemonSettings settings = SettingsReloaderTests.this.reloadedSettings.poll(20, TimeUnit.SECONDS);
			assertThat(settings).isNotNull();
			assertThat(settings.seeds()).containsExactly("127.0.0.1:11");
		}

		@Test
		void hangupSignalReloadsTheFile() throws Exception {
			Signal.raise(new Signal("HUP"));
			assertThat(SettingsReloaderTests.this.reloadedSettings.poll(20, TimeUnit.SECONDS)).isNotNull();
		}

		@Test
		void invalidFileIsIgnored() throws Exception {
			write("instance: [", 3_000);
			assertThat(SettingsReloaderTests.this.reloadedSettings.poll(4, TimeUnit.SECONDS)).isNull();
		}

	}

}
