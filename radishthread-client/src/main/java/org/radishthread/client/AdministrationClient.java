package org.radishthread.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/**
 * HTTP client for the administration port of an instance. As a picocli mixin, it also
 * declares the options that select the instance and the token.
 */
final class AdministrationClient {

	private static final long TIMEOUT_SECONDS = 30;

	private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

	@Option(names = "--server", paramLabel = "IP:PORT", defaultValue = "${env:RADISHTHREAD_SERVER:-127.0.0.1:9080}",
			description = "administration port of any instance; also RADISHTHREAD_SERVER (default: ${DEFAULT-VALUE})")
	private String server = "";

	@Option(names = "--token-file", paramLabel = "FILE", defaultValue = "${env:RADISHTHREAD_TOKEN_FILE}",
			description = "file with the operators' token; also RADISHTHREAD_TOKEN_FILE")
	private @Nullable Path tokenFile;

	Response send(String method, String path, @Nullable String body) {
		HttpClient client = new HttpClient();
		try {
			client.start();
			Request request = client.newRequest("http://" + this.server + path)
				.method(method)
				.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
				.headers((headers) -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + readToken())
					.put("Radishthread-Operator", System.getProperty("user.name", "unnamed")));
			if (body != null) {
				request.body(new StringRequestContent(body));
			}
			ContentResponse response = new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES).send()
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return new Response(response.getStatus(), parseJson(response.getContentAsString()));
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new ClientException("Instance " + this.server + " did not respond: " + ex.getMessage()
					+ ". Check --server, or use another instance.", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ClientException("The request was interrupted.", ex);
		}
		catch (RuntimeException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new ClientException("The request failed: " + ex.getMessage(), ex);
		}
		finally {
			stop(client);
		}
	}

	private static void stop(HttpClient client) {
		try {
			client.stop();
		}
		catch (Exception ex) {
			throw new ClientException("The HTTP client cannot be stopped.", ex);
		}
	}

	private static JsonNode parseJson(String text) throws JsonProcessingException {
		return new ObjectMapper().readTree(text);
	}

	private String readToken() {
		if (this.tokenFile == null) {
			throw new ClientException("No token file is given; name it with --token-file or RADISHTHREAD_TOKEN_FILE.",
					null);
		}
		try {
			return Files.readString(this.tokenFile).strip();
		}
		catch (IOException ex) {
			throw new ClientException("Token file '" + this.tokenFile + "' cannot be read.", ex);
		}
	}

	/**
	 * Response of an instance.
	 *
	 * @param status the HTTP status
	 * @param body the JSON content
	 */
	record Response(int status, JsonNode body) {
	}

}
