import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a settings template of the deploy folder as the platform's pages describe it. */
final class Template {

	private static final Pattern TAG = Pattern.compile("\\{\\{([#^/]?)([^}|]*)(\\|json)?\\}\\}");

	private Template() {
	}

	static String render(String text, Map<String, Object> fields) {
		StringBuilder output = new StringBuilder();
		render(text, fields, fields, "", output);
		return output.toString();
	}

	private static void render(String text, Map<String, Object> fields, Object current, String comma,
			StringBuilder output) {
		Matcher tag = TAG.matcher(text);
		int position = 0;
		while (tag.find(position)) {
			output.append(text, position, tag.start());
			String name = tag.group(2);
			position = tag.end();
			if (tag.group(1).isEmpty()) {
				output.append(name.equals(",") ? comma : print(find(fields, current, name)));
				continue;
			}
			String endTag = "{{/" + name + "}}";
			int end = text.indexOf(endTag, position);
			String section = text.substring(position, end);
			position = end + endTag.length();
			Object value = find(fields, current, name);
			boolean present = value != null && !Boolean.FALSE.equals(value);
			if (tag.group(1).equals("^")) {
				if (!present) {
					render(section, fields, current, comma, output);
				}
			}
			else if (value instanceof List<?> list) {
				for (Iterator<?> entries = list.iterator(); entries.hasNext();) {
					Object entry = entries.next();
					render(section, fields, entry, entries.hasNext() ? "," : "", output);
				}
			}
			else if (present) {
				render(section, fields, current, comma, output);
			}
		}
		output.append(text.substring(position));
	}

	private static Object find(Map<String, Object> fields, Object current, String path) {
		if (path.equals(".")) {
			return current;
		}
		Object value = fields;
		for (String name : path.split("\\.")) {
			if (value instanceof Map<?, ?> map) {
				value = map.get(name);
			}
			else if (value instanceof List<?> list) {
				value = list.get(Integer.parseInt(name));
			}
			else {
				return null;
			}
		}
		return value;
	}

	private static String print(Object value) {
		return (value != null) ? value.toString() : "";
	}

}
