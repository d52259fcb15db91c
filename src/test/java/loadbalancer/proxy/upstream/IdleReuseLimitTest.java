package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class IdleReuseLimitTest {

  @Test
  void rareResetsDoNotLowerTheLimit() {
    IdleReuseLimit limit = new IdleReuseLimit(20_000, 50);
    assertTrue(limit.allowsReuse(19_000, false));
    for (int i = 0; i < 20; i++) {
      limit.recordReset(400);
      assertTrue(limit.allowsReuse(19_000, true));
      // After a reset, a non-retryable request gets a fresh connection only.
      assertFalse(limit.allowsReuse(51, false));
      assertTrue(limit.allowsReuse(50, false));
      for (int reuse = 0; reuse < 10; reuse++) {
        limit.recordSuccess(400);
      }
    }
    for (int reuse = 0; reuse < 60; reuse++) {
      limit.recordSuccess(400);
    }
    assertTrue(limit.allowsReuse(19_000, false));
  }

  @Test
  void frequentResetsLowerTheLimit() {
    IdleReuseLimit limit = new IdleReuseLimit(20_000, 50);
    assertTrue(limit.allowsReuse(19_000, true));
    for (int i = 0; i < 3; i++) {
      assertTrue(limit.allowsReuse(201, true));
      limit.recordReset(400);
      // A success on a fresh connection does not lower the reset rate.
      limit.recordSuccess(50);
    }
    assertTrue(limit.allowsReuse(200, true));
    assertFalse(limit.allowsReuse(201, true));
    // A reset after a longer idle time does not raise the limit again.
    limit.recordReset(600);
    assertFalse(limit.allowsReuse(201, true));
    // The limit never falls below the idle time of a fresh connection.
    limit.recordReset(1);
    assertTrue(limit.allowsReuse(50, true));
    for (int second = 0; second < 60; second++) {
      limit.recover();
    }
    assertTrue(limit.allowsReuse(20_000, true));
    assertFalse(limit.allowsReuse(20_001, true));
    assertTrue(limit.allowsReuse(20_000, false));
  }
}
