package loadbalancer.model;

/**
 * A tenant of the service.
 *
 * @param name its name on the wire
 */
public record Tenant(String name) {}
