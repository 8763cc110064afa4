package loadbalancer.control.model;

/**
 * A tenant of a service.
 *
 * @param service the service it sends requests to
 * @param name as clients name it
 * @param allowancePerSecond requests a second over all balancers; 0 for no allowance stated
 * @param share its share of what the service can serve, 0 to 1
 */
public record Tenant(String service, String name, double allowancePerSecond, double share)
        implements Resource {
    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.TENANT, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.notNegative("allowancePerSecond", allowancePerSecond);
        check.notNegative("share", share);
        check.require(share <= 1, "share", "expected 1 at most");
    }
}
