package loadbalancer.control.publish;

import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;

/** Merges the entries of several services in the order of their positions. */
final class ScopeWalk implements Iterator<IndexEntry> {
    private final PriorityQueue<ServiceWalk> services =
            new PriorityQueue<>(Comparator.comparing((ServiceWalk walk) -> walk.next.position()));

    /** The entries of one service, with the next one taken out ahead. */
    private static final class ServiceWalk {
        private final Iterator<IndexEntry> rest;
        private IndexEntry next;

        ServiceWalk(Iterator<IndexEntry> entries) {
            next = entries.next();
            rest = entries;
        }
    }

    /** Adds the entries of a service, in the order of their positions. */
    void add(Iterator<IndexEntry> entries) {
        if (entries.hasNext()) {
            services.add(new ServiceWalk(entries));
        }
    }

    @Override
    public boolean hasNext() {
        return !services.isEmpty();
    }

    @Override
    public IndexEntry next() {
        ServiceWalk service = services.remove();
        IndexEntry entry = service.next;
        if (service.rest.hasNext()) {
            service.next = service.rest.next();
            services.add(service);
        }
        return entry;
    }
}
