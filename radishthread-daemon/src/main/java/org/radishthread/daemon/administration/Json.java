package org.radishthread.daemon.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Creates and parses JSON values. The mapper is created when the first value is parsed,
 * because it loads the calendars of the runtime, which would delay the start.
 */
final class Json {

	private Json() {
	}

	static ObjectNode object() {
		return JsonNodeFactory.instance.objectNode();
	}

	static JsonNode parse(String text) throws JsonProcessingException {
		return MapperHolder.mapper.readTree(text);
	}

	private static final class MapperHolder {

		private static final ObjectMapper mapper = new ObjectMapper();

	}

}
