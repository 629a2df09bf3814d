package org.radishthread.daemon.gateway;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerResponse}, whose {@code breakOff} leaves the response to Jetty.
 */
class BrokenOffResponseTests {

	private final Server server = new Server();

	@AfterEach
	void stop() throws Exception {
		this.server.stop();
	}

	private HttpResponse<String> responseBrokenOffBy(Throwable cause) throws Exception {
		ServerConnector connector = new ServerConnector(this.server, 1, 1);
		connector.setHost("127.0.0.1");
		this.server.addConnector(connector);
		this.server.setHandler(new Handler.Abstract.NonBlocking() {

			@Override
			public boolean handle(Request request, Response response, Callback callback) {
				new CallerResponse(new DefaultHttpDialect(), request, response, callback).breakOff(cause);
				return true;
			}

		});
		this.server.start();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + connector.getLocalPort()))
			.POST(HttpRequest.BodyPublishers.ofString("order"))
			.build();
		return HttpClient.newHttpClient()
			.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.ISO_8859_1));
	}

	// Guards against a promise of "not run" by Jetty, which writes the status that a
	// cause carries although the request may have run.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void statusOfTheCauseIsNotWritten(int status) throws Exception {
		assertThat(responseBrokenOffBy(new HttpException.RuntimeException(status, "cause")).statusCode())
			.isNotEqualTo(status);
	}

	// As above, for the causes by which Jetty reports a request that it cannot read. They
	// carry no server error.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429 })
	void statusOfABadMessageIsNotWritten(int status) throws Exception {
		assertThat(responseBrokenOffBy(new BadMessageException(status, "cause")).statusCode()).isNotEqualTo(status);
	}

	// As above, for the causes by which Jetty reports a response that it cannot write.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void statusOfAnIllegalStateIsNotWritten(int status) throws Exception {
		assertThat(responseBrokenOffBy(new HttpException.IllegalStateException(status, "cause")).statusCode())
			.isNotEqualTo(status);
	}

}
