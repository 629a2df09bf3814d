package org.radishthread.client;

import java.io.PrintWriter;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Format in which a response is printed. The constants are the values of the option
 * {@code --output}.
 */
enum OutputFormat {

	/**
	 * Text with one field or list element per line, for people.
	 */
	text {

		@Override
		void print(JsonNode body, PrintWriter writer) {
			printNode("", body, writer);
		}

	},

	/**
	 * JSON on one line, for programs.
	 */
	json {

		@Override
		void print(JsonNode body, PrintWriter writer) {
			writer.println(body);
		}

	};

	abstract void print(JsonNode body, PrintWriter writer);

	private static void printNode(String name, JsonNode node, PrintWriter writer) {
		if (node.isArray()) {
			node.forEach((element) -> writer.println(name + ": " + formatLine(element)));
		}
		else if (node.isObject()) {
			node.fields().forEachRemaining((field) -> printNode(field.getKey(), field.getValue(), writer));
		}
		else {
			writer.println(name + ": " + node.asText());
		}
	}

	private static String formatLine(JsonNode node) {
		if (!node.isObject()) {
			return node.asText();
		}
		StringBuilder line = new StringBuilder();
		node.fields().forEachRemaining((field) -> {
			line.append(line.isEmpty() ? "" : " ");
			line.append(field.getKey()).append('=').append(field.getValue().asText());
		});
		return line.toString();
	}

}
