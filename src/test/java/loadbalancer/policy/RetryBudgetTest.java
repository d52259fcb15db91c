package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.model.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** The token bucket that bounds retries and hedged requests. */
class RetryBudgetTest {

  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retryPolicy = new RetryPolicy(retryBudget);

  /** Returns the number of tokens spent. */
  private int spendAllTokens() {
    int spentTokens = 0;
    while (retryBudget.hasToken()) {
      retryBudget.spend();
      spentTokens++;
    }
    return spentTokens;
  }

  @Test
  void holdsThreeTokensAtMost() {
    for (int i = 0; i < 1_000; i++) {
      retryBudget.requestArrived();
    }
    assertEquals(3, spendAllTokens());
  }

  @Test
  void elevenRequestsEarnOneToken() {
    spendAllTokens();
    for (int i = 0; i < 9; i++) {
      retryBudget.requestArrived();
    }
    assertFalse(retryBudget.hasToken());
    retryBudget.requestArrived();
    retryBudget.requestArrived();
    assertTrue(retryBudget.hasToken());
  }

  @Test
  void servedRetryGivesItsTokenBack() {
    spendAllTokens();
    retryBudget.retryOrHedgeServed();
    assertTrue(retryBudget.hasToken());
  }

  @Test
  void retryNeedsATokenUnlessTheAttemptFailedToConnect() {
    assertTrue(retryPolicy.tryAcquireRetry(AttemptOutcome.TIMEOUT));
    assertEquals(2, spendAllTokens());
    assertFalse(retryPolicy.tryAcquireRetry(AttemptOutcome.TIMEOUT));
    assertTrue(retryPolicy.tryAcquireRetry(AttemptOutcome.CONNECT_FAILED));
    assertFalse(retryPolicy.tryAcquireRetry(AttemptOutcome.NOT_SENT));
  }
}
