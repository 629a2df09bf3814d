import java.util.List;

/** Writes a config with one route for each service, as the platform's operator sends it. */
final class Config {

	static final String HOST = "hulo84.example";

	private Config() {
	}

	record Route(String name, String prefix, String kind, int timeoutMillis, String service) {
	}

	static String write(int version, List<Route> routes) {
		StringBuilder routeText = new StringBuilder();
		StringBuilder serviceText = new StringBuilder();
		for (Route route : routes) {
			routeText.append(routeText.isEmpty() ? "" : ",")
				.append(String.format(
						"{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
								+ "\"slo_ms\":%d,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2}",
						route.name(), HOST, route.prefix(), route.kind(), route.timeoutMillis(),
						route.timeoutMillis() / 3, route.service()));
		}
		for (String service : routes.stream().map(Route::service).distinct().toList()) {
			serviceText.append(serviceText.isEmpty() ? "" : ",")
				.append(String.format("{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":220,"
						+ "\"protocol\":\"h1\",\"tls\":false}", service));
		}
		return String.format(
				"{\"version\":\"%08x\",\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384,"
						+ "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
				version, routeText, serviceText);
	}

}
