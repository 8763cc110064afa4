package loadbalancer.control.model;

import java.util.List;

/**
 * Resources to replace and to delete atomically: a balancer is in the state before or after a
 * change, never between.
 *
 * @param id the client's idempotency key: a change with the id of an accepted one is that change
 * @param put resources to add or replace
 * @param delete resources to delete
 */
public record Change(String id, List<Resource> put, List<ResourceId> delete) {
    /** Copies the lists; absent ones are empty. */
    public Change {
        id = id == null ? "" : id;
        put = put == null ? List.of() : List.copyOf(put);
        delete = delete == null ? List.of() : List.copyOf(delete);
    }
}
