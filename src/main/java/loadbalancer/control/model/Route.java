package loadbalancer.control.model;

/**
 * Maps requests by host and path to a request class of a service.
 *
 * @param service the service that requests go to
 * @param name unique among the routes of the service
 * @param host the host that clients name; empty for any
 * @param pathPrefix the beginning of the path, with its slash
 * @param requestClass the class of the service that such requests belong to
 */
public record Route(
        String service, String name, String host, String pathPrefix, String requestClass)
        implements Resource {
    /** An absent host is any host. */
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
                "expected a path that begins with a slash");
        check.name(ResourceFieldNames.REQUEST_CLASS, requestClass);
    }
}
