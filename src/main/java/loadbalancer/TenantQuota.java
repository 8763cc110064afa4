package loadbalancer;

/**
 * The quota of a tenant.
 *
 * @param requestsPerSecond quota over all balancers; 0 means no limit
 * @param serviceFraction fraction of the service that the tenant has reserved
 */
public record TenantQuota(double requestsPerSecond, double serviceFraction) {}
