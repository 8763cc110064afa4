package loadbalancer.control.model;

/**
 * A route, which maps requests by host and path to a request class of a service.
 *
 * @param service the service that handles matching requests
 * @param name the name, unique among the routes of the service
 * @param host the host to match; empty for any host
 * @param pathPrefix the path prefix to match, with its leading slash
 * @param requestClass the request class of the service that matching requests belong to
 */
public record Route(
        String service, String name, String host, String pathPrefix, String requestClass)
        implements Resource {
    /** Replaces an absent host by the empty one, which matches any host. */
    public Route {
        host = host == null ? "" : host;
    }

    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.ROUTE, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.require(
                pathPrefix != null && pathPrefix.startsWith("/"),
                ResourceFieldNames.PATH_PREFIX,
                "expected a path that starts with a slash");
        check.name(ResourceFieldNames.REQUEST_CLASS, requestClass);
    }
}
