package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A configuration resource; a change replaces the entire resource. */
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
    /** Returns the identifier of the resource. */
    ResourceId id();

    /**
     * Checks each field on its own; references to other resources are not checked.
     *
     * @throws InvalidChangeException with the first invalid field and the reason
     */
    void validate() throws InvalidChangeException;
}
