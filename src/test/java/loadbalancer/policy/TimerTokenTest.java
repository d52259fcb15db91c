package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Timers are told apart by their token alone. */
class TimerTokenTest {

  private static final long REQUEST_ID = 123_456_789_012L;

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7, 126})
  void attemptTimersKeepTheirRequestAndAttempt(int attempt) {
    long hedge = TimerToken.hedge(REQUEST_ID, attempt);
    assertEquals(TimerToken.Kind.HEDGE, TimerToken.kind(hedge));
    assertEquals(REQUEST_ID, TimerToken.requestId(hedge));
    assertEquals(attempt, TimerToken.attemptNumber(hedge));
    long late = TimerToken.lateAttempt(REQUEST_ID, attempt);
    assertEquals(TimerToken.Kind.LATE_ATTEMPT, TimerToken.kind(late));
    assertEquals(REQUEST_ID, TimerToken.requestId(late));
    assertEquals(attempt, TimerToken.attemptNumber(late));
  }

  @Test
  void queueTimerKeepsItsRequest() {
    long token = TimerToken.queue(REQUEST_ID);
    assertEquals(TimerToken.Kind.QUEUE, TimerToken.kind(token));
    assertEquals(REQUEST_ID, TimerToken.requestId(token));
  }

  @Test
  void discoveryTimerBelongsToNoRequest() {
    assertEquals(TimerToken.Kind.DISCOVERY_RETRY, TimerToken.kind(TimerToken.DISCOVERY_RETRY));
  }
}
