package loadbalancer.faults.control.scale;

/**
 * How much a base state holds.
 *
 * @param services number of services
 * @param upstreams of all services together
 * @param routes of all services together
 * @param tenants of all services together
 */
public record StateSize(int services, int upstreams, int routes, int tenants) {
    /** The operators' target. */
    public static final StateSize TARGET = new StateSize(590, 9_100, 8_500, 54_000);

    /**
     * Resources of each service besides upstreams, routes and tenants: itself, a class and its
     * limits.
     */
    static final int FIXED_RESOURCES = 3;

    /** Rejects a state without a service. */
    public StateSize {
        if (services < 1 || upstreams < 0 || routes < 0 || tenants < 0) {
            throw new IllegalArgumentException(
                    "a base state needs a service and no negative numbers");
        }
    }

    /** All resources. */
    public int resources() {
        return services * FIXED_RESOURCES + upstreams + routes + tenants;
    }
}
