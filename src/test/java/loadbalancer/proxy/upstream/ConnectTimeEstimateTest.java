package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ConnectTimeEstimateTest {

  @Test
  void initialRetryDelayIsAQuarterOfTheConnectTimeout() {
    assertEquals(750, new ConnectTimeEstimate(3_000, OptionalDouble.empty()).retryDelayMillis());
  }

  @Test
  void retryDelayIsFourTimesTheMedian() {
    assertEquals(80, new ConnectTimeEstimate(3_000, OptionalDouble.of(20)).retryDelayMillis());
  }

  @Test
  void retryDelayIsAtLeast10MillisAndAtMostAQuarterOfTheConnectTimeout() {
    ConnectTimeEstimate estimate = new ConnectTimeEstimate(3_000, OptionalDouble.of(20));
    for (int i = 0; i < 100; i++) {
      estimate.recordConnectTime(0.1);
    }
    assertEquals(10, estimate.retryDelayMillis());
    for (int i = 0; i < 100; i++) {
      estimate.recordConnectTime(2_900);
    }
    assertEquals(750, estimate.retryDelayMillis());
  }
}
