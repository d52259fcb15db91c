package loadbalancer.model;

/**
 * What side effects cost, in points of the result.
 *
 * @param crossZoneCost for the share of attempts that leave the zone
 * @param connectionCost for the rate of new connections
 * @param handshakeCost for the rate of handshakes
 */
public record CostSettings(double crossZoneCost, double connectionCost, double handshakeCost) {}
