package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Deterministic subsetting: which ready endpoints an instance prefers.
 *
 * <p>Every stride-th endpoint in an order by zone and machine type, from the instance's own index
 * on: a subset is a small picture of all endpoints, and each endpoint is in as many subsets as the
 * others. Each round of instances shuffles anew, so that no two endpoints share all their clients.
 */
final class EndpointSubset {

  /** Enough to lose a few, few enough to have evidence of each. */
  private static final double TARGET_SIZE = 8;

  /** Spreads the endpoint IDs among the seeds of a round. */
  private static final int SEED_MULTIPLIER = 31;

  private final int instanceIndex;
  private int stride = 1;

  EndpointSubset(int instanceIndex) {
    this.instanceIndex = instanceIndex;
  }

  /** The number of instances whose subsets together have each ready endpoint once. */
  int stride() {
    return stride;
  }

  /** Chooses the subset anew. */
  void update(List<EndpointStatistics> ready) {
    stride = (int) Math.max(1, ready.size() / TARGET_SIZE);
    long round = instanceIndex / stride;
    List<EndpointStatistics> ordered = new ArrayList<>(ready);
    ordered.forEach(endpoint -> endpoint.setWeight(shuffleKey(endpoint, round)));
    ordered.sort(
        Comparator.<EndpointStatistics>comparingInt(endpoint -> endpoint.listedEndpoint().zone())
            .thenComparingInt(endpoint -> endpoint.listedEndpoint().machineType())
            .thenComparingDouble(EndpointStatistics::weight));
    for (int i = 0; i < ordered.size(); i++) {
      ordered.get(i).setInSubset((i + instanceIndex) % stride == 0);
    }
  }

  private static double shuffleKey(EndpointStatistics endpoint, long round) {
    return new SplittableRandom(endpoint.listedEndpoint().id() * SEED_MULTIPLIER + round)
        .nextDouble();
  }
}
