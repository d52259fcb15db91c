package loadbalancer.proxy.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonReaderTest {

  private static JsonNode read(String json) throws IOException {
    return JsonReader.read(new ByteArrayInputStream(json.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void treeEqualsThatOfJacksonsObjectMapper() throws IOException {
    for (String json :
        List.of(
            "{}",
            "[]",
            " {\r\n\t\"a\" : [ ] } ",
            "\"\\u00e9\\n\u00e9\"",
            "0",
            "-7",
            "2147483648",
            "123456789012345678901",
            "1.0",
            "0.1",
            "-2.5e3",
            "true",
            "false",
            "null",
            "{\"a\":1,\"a\":{\"b\":[1,2.5,\"x\",null,true,{\"c\":[]}]},\"d\":\"\"}",
            "[[[[]],{}],1] 2")) {
      JsonNode expected = new JsonMapper().readTree(json);
      assertEquals(expected, read(json));
      assertEquals(expected.toString(), read(json).toString());
    }
    assertTrue(read("").isMissingNode());
    assertTrue(read(" \n").isMissingNode());
  }

  @Test
  void malformedJsonIsRejected() {
    for (String json :
        List.of(
            "{",
            "[",
            "}",
            "]",
            "{\"a\"",
            "{\"a\":",
            "{\"a\":}",
            "{\"a\":1",
            "{\"a\" 1}",
            "{a:1}",
            "[1",
            "[1,",
            "[1,]",
            "[1 2]",
            "\"a",
            "nul",
            "NaN",
            "01",
            "[1}",
            "[".repeat(100_000),
            "{\"a\":".repeat(100_000))) {
      assertThrows(
          IOException.class, () -> read(json), json.substring(0, Math.min(9, json.length())));
    }
  }
}
