package loadbalancer.control.publish;

import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;

/** Merges the entries of several services in the order of their positions. Not thread-safe. */
final class ScopeIterator implements Iterator<IndexEntry> {
    private final PriorityQueue<ServiceEntries> services =
            new PriorityQueue<>(
                    Comparator.comparing((ServiceEntries entries) -> entries.next.position()));

    /** The entries of one service, with the next one read ahead. */
    private static final class ServiceEntries {
        private final Iterator<IndexEntry> remaining;
        private IndexEntry next;

        ServiceEntries(Iterator<IndexEntry> entries) {
            next = entries.next();
            remaining = entries;
        }
    }

    /** Adds the entries of a service, which must be in the order of their positions. */
    void add(Iterator<IndexEntry> entries) {
        if (entries.hasNext()) {
            services.add(new ServiceEntries(entries));
        }
    }

    @Override
    public boolean hasNext() {
        return !services.isEmpty();
    }

    @Override
    public IndexEntry next() {
        ServiceEntries service = services.remove();
        IndexEntry entry = service.next;
        if (service.remaining.hasNext()) {
            service.next = service.remaining.next();
            services.add(service);
        }
        return entry;
    }
}
