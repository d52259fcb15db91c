package loadbalancer.proxy.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;

/**
 * Reads JSON into Jackson's tree model. Used in place of Jackson's object mapper, which loads
 * hundreds of classes for data binding and so slows down the start of the process. Stateless; may
 * be used on any thread.
 */
public final class JsonReader {

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonReader() {}

  /**
   * Reads the first value of a stream; what follows it is ignored. Returns a missing node if the
   * stream holds no value.
   *
   * @throws IOException if the stream cannot be read or holds malformed JSON
   */
  public static JsonNode read(InputStream json) throws IOException {
    try (JsonParser parser = FACTORY.createParser(json)) {
      return parser.nextToken() == null ? NODES.missingNode() : readValue(parser);
    }
  }

  /**
   * Reads the value at the parser's current token. The parser limits the depth of the recursion.
   */
  private static JsonNode readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT ->
          switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
          };
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default ->
          throw new JsonParseException(
              parser, "expected a JSON value but found " + parser.currentToken());
    };
  }

  private static ObjectNode readObject(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, readValue(parser));
    }
    return object;
  }

  private static ArrayNode readArray(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser));
    }
    return array;
  }
}
