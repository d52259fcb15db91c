package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class LoadReportParserTest {

  @Test
  void rejectsMissingAndOutOfRangeValues() {
    List<String> fields = List.of("queue");
    for (String text :
        new String[] {"TEXT queue=-1", "queue=1e99", "queue=NaN", "queue=", "queue", ""}) {
      assertEquals(null, LoadReportParser.parse(text, fields));
    }
    assertEquals(2, LoadReportParser.parse("TEXT queue=2", fields)[0]);
  }
}
