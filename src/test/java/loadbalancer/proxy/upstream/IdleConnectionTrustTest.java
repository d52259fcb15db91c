package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class IdleConnectionTrustTest {

  @Test
  void rareResetsDoNotShortenTheTrustedIdleTime() {
    IdleConnectionTrust trust = new IdleConnectionTrust(20_000, 50);
    assertTrue(trust.trusts(19_000, false));
    for (int i = 0; i < 20; i++) {
      trust.recordReset(400);
      assertTrue(trust.trusts(19_000, true));
      // Meanwhile a non-retryable request gets a fresh connection only.
      assertFalse(trust.trusts(51, false));
      assertTrue(trust.trusts(50, false));
      for (int use = 0; use < 10; use++) {
        trust.recordSuccess(400);
      }
    }
    for (int use = 0; use < 60; use++) {
      trust.recordSuccess(400);
    }
    assertTrue(trust.trusts(19_000, false));
  }

  @Test
  void frequentResetsShortenTheTrustedIdleTime() {
    IdleConnectionTrust trust = new IdleConnectionTrust(20_000, 50);
    assertTrue(trust.trusts(19_000, true));
    for (int i = 0; i < 3; i++) {
      assertTrue(trust.trusts(201, true));
      trust.recordReset(400);
      // Fresh connections are no evidence.
      trust.recordSuccess(50);
    }
    assertTrue(trust.trusts(200, true));
    assertFalse(trust.trusts(201, true));
    // A reset after a longer idle time changes nothing; fresh connections stay trusted.
    trust.recordReset(600);
    assertFalse(trust.trusts(201, true));
    trust.recordReset(1);
    assertTrue(trust.trusts(50, true));
    for (int second = 0; second < 60; second++) {
      trust.recover();
    }
    assertTrue(trust.trusts(20_000, true));
    assertFalse(trust.trusts(20_001, true));
    assertTrue(trust.trusts(20_000, false));
  }
}
