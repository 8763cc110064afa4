package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A tenant of a service.
 *
 * @param service the service it sends requests to
 * @param name as clients name it
 * @param allowancePerSecond requests a second over all balancers; 0 for no allowance stated
 * @param quotaFraction its quota of the service's capacity, 0 to 1
 */
public record Tenant(
        String service,
        String name,
        double allowancePerSecond,
        @JsonProperty(ResourceFieldNames.QUOTA) double quotaFraction)
        implements Resource {
    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.TENANT, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.notNegative(ResourceFieldNames.ALLOWANCE, allowancePerSecond);
        check.notNegative(ResourceFieldNames.QUOTA, quotaFraction);
        check.require(quotaFraction <= 1, ResourceFieldNames.QUOTA, "expected 1 at most");
    }
}
