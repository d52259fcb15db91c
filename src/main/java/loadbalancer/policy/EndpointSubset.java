package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Deterministic subsetting: chooses the ready endpoints that an instance prefers.
 *
 * <p>The endpoints are ordered by zone and machine type, and an instance takes every stride-th one,
 * with an offset that depends on its index. Each subset then has about the same mix of zones and
 * machine types as the whole list, and each endpoint is in about the same number of subsets. A
 * round is a sequence of as many instances as the stride, whose subsets together hold each endpoint
 * once. Each round shuffles the endpoints of the same zone and machine type differently, so that
 * two endpoints rarely are in the subsets of exactly the same instances.
 */
final class EndpointSubset {

  /**
   * Target size of a subset: large enough for a few endpoints to fail, and small enough for an
   * instance to have recent statistics about each.
   */
  private static final double TARGET_SIZE = 8;

  /** Factor of the endpoint ID in the shuffle seed, so that close IDs have different seeds. */
  private static final int SEED_MULTIPLIER = 31;

  private final int instanceIndex;
  private int stride = 1;

  EndpointSubset(int instanceIndex) {
    this.instanceIndex = instanceIndex;
  }

  /** The number of instances in a round: their subsets together hold each ready endpoint once. */
  int stride() {
    return stride;
  }

  /** Chooses the subset again, after the list of ready endpoints has changed. */
  void update(List<EndpointStatistics> readyEndpoints) {
    stride = (int) Math.max(1, readyEndpoints.size() / TARGET_SIZE);
    long round = instanceIndex / stride;
    List<EndpointStatistics> orderedEndpoints = new ArrayList<>(readyEndpoints);
    orderedEndpoints.forEach(endpoint -> endpoint.setWeight(shuffleKey(endpoint, round)));
    orderedEndpoints.sort(
        Comparator.<EndpointStatistics>comparingInt(endpoint -> endpoint.listedEndpoint().zone())
            .thenComparingInt(endpoint -> endpoint.listedEndpoint().machineType())
            .thenComparingDouble(EndpointStatistics::weight));
    for (int i = 0; i < orderedEndpoints.size(); i++) {
      orderedEndpoints.get(i).setInSubset((i + instanceIndex) % stride == 0);
    }
  }

  /** A pseudorandom sort key, 0 to 1, that depends only on the endpoint ID and the round. */
  private static double shuffleKey(EndpointStatistics endpoint, long round) {
    return new SplittableRandom(endpoint.listedEndpoint().id() * SEED_MULTIPLIER + round)
        .nextDouble();
  }
}
