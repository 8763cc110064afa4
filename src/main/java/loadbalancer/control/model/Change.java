package loadbalancer.control.model;

import java.util.List;

/**
 * A set of resources to put and delete atomically: a balancer has either the state before the
 * change or the state after it in force, never a mixture.
 *
 * @param id the client's idempotency key: a change with the id of an accepted change is treated as
 *     a retry of that change
 * @param put resources to add or replace
 * @param delete resources to delete
 */
public record Change(String id, List<Resource> put, List<ResourceId> delete) {
    /** Copies the lists; an absent id or list becomes empty. */
    public Change {
        id = id == null ? "" : id;
        put = put == null ? List.of() : List.copyOf(put);
        delete = delete == null ? List.of() : List.copyOf(delete);
    }
}
