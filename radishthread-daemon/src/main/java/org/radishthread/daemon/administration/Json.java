package org.radishthread.daemon.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and makes JSON values. The mapper is created with the first value that is read,
 * because it loads the calendars of the runtime.
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
