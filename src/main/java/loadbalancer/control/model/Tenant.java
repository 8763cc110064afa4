package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A tenant of a service.
 *
 * @param service the service that the tenant sends requests to
 * @param name the name by which clients refer to the tenant
 * @param allowancePerSecond requests per second over all balancers; 0 if no allowance is set
 * @param quotaFraction the tenant's quota as a fraction of the service's capacity, 0 to 1
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
        check.require(quotaFraction <= 1, ResourceFieldNames.QUOTA, "expected at most 1");
    }
}
