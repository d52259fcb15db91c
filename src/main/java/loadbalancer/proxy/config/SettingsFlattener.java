package loadbalancer.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Turns nested settings in JSON into the {@code path=value} lines that {@link
 * loadbalancer.settings.SettingsParser} reads.
 */
final class SettingsFlattener {

  private final StringBuilder lines = new StringBuilder();

  private SettingsFlattener() {}

  /** The lines in UTF-8; a null or missing value has none. */
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

  /** The text without the characters that separate lines and items. */
  private static String scalarText(JsonNode value) {
    return value.asText().replaceAll("[\\s,]", "_");
  }

  private void appendLine(String path, String value) {
    lines.append(path).append('=').append(value).append('\n');
  }
}
