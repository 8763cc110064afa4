package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One configuration resource; a change replaces it as a whole. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = ResourceFieldNames.KIND)
@JsonSubTypes({
    @JsonSubTypes.Type(value = Service.class, name = "service"),
    @JsonSubTypes.Type(value = Upstream.class, name = "upstream"),
    @JsonSubTypes.Type(value = Route.class, name = "route"),
    @JsonSubTypes.Type(value = Tenant.class, name = "tenant"),
    @JsonSubTypes.Type(value = RequestClass.class, name = "class"),
    @JsonSubTypes.Type(value = Limits.class, name = "limits")
})
public sealed interface Resource permits Service, Upstream, Route, Tenant, RequestClass, Limits {
    /** What identifies it. */
    ResourceId id();

    /**
     * Checks each field by itself.
     *
     * @throws InvalidChangeException with the first invalid field and the reason
     */
    void validate() throws InvalidChangeException;
}
