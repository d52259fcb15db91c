package loadbalancer.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Converts nested settings in JSON to the {@code path=value} lines that {@link
 * loadbalancer.settings.SettingsParser} reads. A list of objects becomes a {@code path.count} line
 * and the lines of each object below {@code path.index}; any other list becomes one line with the
 * items separated by commas.
 */
final class SettingsFlattener {

  private final StringBuilder lines = new StringBuilder();

  private SettingsFlattener() {}

  /** Returns the lines in UTF-8; there is none for a null or missing value. */
  static byte[] flatten(JsonNode settings) {
    SettingsFlattener flattener = new SettingsFlattener();
    flattener.append("", settings);
    return flattener.lines.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void append(String path, JsonNode value) {
    if (value.isObject()) {
      appendFields(path, value);
    } else if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
      appendObjects(path, value);
    } else if (value.isArray()) {
      List<String> items = new ArrayList<>();
      value.forEach(item -> items.add(scalarText(item)));
      appendLine(path, String.join(",", items));
    } else if (!value.isNull() && !value.isMissingNode()) {
      appendLine(path, scalarText(value));
    }
  }

  private void appendFields(String path, JsonNode object) {
    for (Map.Entry<String, JsonNode> field : object.properties()) {
      append(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue());
    }
  }

  private void appendObjects(String path, JsonNode array) {
    appendLine(path + ".count", Integer.toString(array.size()));
    for (int i = 0; i < array.size(); i++) {
      append(path + "." + i, array.get(i));
    }
  }

  /** The text of a value; white space and commas, which separate lines and items, become '_'. */
  private static String scalarText(JsonNode value) {
    return value.asText().replaceAll("[\\s,]", "_");
  }

  private void appendLine(String path, String value) {
    lines.append(path).append('=').append(value).append('\n');
  }
}
