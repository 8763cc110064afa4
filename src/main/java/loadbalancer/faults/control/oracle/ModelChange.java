package loadbalancer.faults.control.oracle;

import java.util.List;

/**
 * A change as it was submitted.
 *
 * @param revision that it has if it is accepted
 * @param put resources that it adds or replaces
 * @param delete resources that it deletes
 */
public record ModelChange(ModelRevision revision, List<ModelResource> put, List<ModelKey> delete) {
    /** Copies the lists. */
    public ModelChange {
        put = List.copyOf(put);
        delete = List.copyOf(delete);
    }

    /**
     * Names a resource.
     *
     * @param service the service that it belongs to
     * @param key unique among the resources of the service
     */
    public record ModelKey(String service, String key) {}
}
