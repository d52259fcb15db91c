package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.model.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** The token bucket that bounds retries and hedged requests. */
class RetryBudgetTest {

  private final RetryBudget budget = new RetryBudget();
  private final RetryPolicy policy = new RetryPolicy(budget);

  private int spendAll() {
    int spent = 0;
    while (budget.hasToken()) {
      budget.spend();
      spent++;
    }
    return spent;
  }

  @Test
  void holdsThreeTokensAtMost() {
    for (int i = 0; i < 1_000; i++) {
      budget.requestArrived();
    }
    assertEquals(3, spendAll());
  }

  @Test
  void elevenRequestsEarnAToken() {
    spendAll();
    for (int i = 0; i < 9; i++) {
      budget.requestArrived();
    }
    assertFalse(budget.hasToken());
    budget.requestArrived();
    budget.requestArrived();
    assertTrue(budget.hasToken());
  }

  @Test
  void servedRetryGivesItsTokenBack() {
    spendAll();
    budget.retryOrHedgeServed();
    assertTrue(budget.hasToken());
  }

  @Test
  void retryNeedsATokenUnlessTheAttemptHadNoConnection() {
    assertTrue(policy.tryAcquireRetry(AttemptOutcome.TIMEOUT));
    assertEquals(2, spendAll());
    assertFalse(policy.tryAcquireRetry(AttemptOutcome.TIMEOUT));
    assertTrue(policy.tryAcquireRetry(AttemptOutcome.CONNECT_FAILED));
    assertFalse(policy.tryAcquireRetry(AttemptOutcome.NOT_SENT));
  }
}
