package loadbalancer;

/**
 * The quota of a tenant.
 *
 * @param requestsPerSecond its quota over all balancers; 0 means no limit
 * @param serviceFraction part of the service that it has booked
 */
public record TenantQuota(double requestsPerSecond, double serviceFraction) {}
