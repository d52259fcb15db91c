package loadbalancer.model;

/**
 * The cost of side effects, in points of the score by which the platform rates the service.
 *
 * @param crossZoneCost cost of the share of attempts that go to another zone
 * @param connectionCost cost of the rate of new connections
 * @param handshakeCost cost of the rate of handshakes
 */
public record CostSettings(double crossZoneCost, double connectionCost, double handshakeCost) {}
