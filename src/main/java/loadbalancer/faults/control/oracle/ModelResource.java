package loadbalancer.faults.control.oracle;

/**
 * A resource as the oracle knows it: texts that are compared and never interpreted.
 *
 * @param service the service that it belongs to
 * @param key unique among the resources of the service
 * @param revision of the change that last replaced it
 * @param content all of its fields
 */
public record ModelResource(String service, String key, ModelRevision revision, String content) {}
