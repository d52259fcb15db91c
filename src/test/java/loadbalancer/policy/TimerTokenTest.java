package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A timer token identifies the kind of its timer, its request and its attempt. */
class TimerTokenTest {

  private static final long REQUEST_ID = 123_456_789_012L;

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7, 126})
  void attemptTimerTokensContainTheirRequestAndAttempt(int attemptNumber) {
    long hedgeToken = TimerToken.hedge(REQUEST_ID, attemptNumber);
    assertEquals(TimerToken.Kind.HEDGE, TimerToken.kind(hedgeToken));
    assertEquals(REQUEST_ID, TimerToken.requestId(hedgeToken));
    assertEquals(attemptNumber, TimerToken.attemptNumber(hedgeToken));
    long lateAttemptToken = TimerToken.lateAttempt(REQUEST_ID, attemptNumber);
    assertEquals(TimerToken.Kind.LATE_ATTEMPT, TimerToken.kind(lateAttemptToken));
    assertEquals(REQUEST_ID, TimerToken.requestId(lateAttemptToken));
    assertEquals(attemptNumber, TimerToken.attemptNumber(lateAttemptToken));
  }

  @Test
  void queueTimerTokenContainsItsRequest() {
    long token = TimerToken.queue(REQUEST_ID);
    assertEquals(TimerToken.Kind.QUEUE, TimerToken.kind(token));
    assertEquals(REQUEST_ID, TimerToken.requestId(token));
  }

  @Test
  void discoveryTimerTokenHasItsOwnKind() {
    assertEquals(TimerToken.Kind.DISCOVERY_RETRY, TimerToken.kind(TimerToken.DISCOVERY_RETRY));
  }
}
