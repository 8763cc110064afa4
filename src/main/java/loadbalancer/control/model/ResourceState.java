package loadbalancer.control.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All resources at one revision, with an incrementally updated digest per service. Mutable and not
 * thread-safe; its owner must not let others read it while an update is partly applied.
 */
public final class ResourceState {
    private final Map<String, ServiceResources> services = new HashMap<>();
    private Revision revision = Revision.NONE;
    private int size;

    /** The resources of one service with their digest. */
    private static final class ServiceResources {
        private final Map<ResourceId, VersionedResource> resources = new HashMap<>();
        private Digest digest = Digest.EMPTY;
    }

    /** Returns the revision of the state. */
    public Revision revision() {
        return revision;
    }

    /**
     * Sets the revision of the state.
     *
     * @throws IllegalStateException if it is before the current revision
     */
    public void advance(Revision next) {
        if (revision.isAfter(next)) {
            throw new IllegalStateException("revision " + next + " is before " + revision);
        }
        revision = next;
    }

    /** Returns the resource with the given identifier, or null if there is none. */
    public VersionedResource get(ResourceId id) {
        ServiceResources service = services.get(id.service());
        return service == null ? null : service.resources.get(id);
    }

    /** Returns whether a service of that name exists. */
    public boolean hasService(String service) {
        return get(ResourceId.ofService(service)) != null;
    }

    /** Returns an unmodifiable view of the names of all services. */
    public Set<String> services() {
        return Collections.unmodifiableSet(services.keySet());
    }

    /**
     * Returns an unmodifiable view of the resources of a service, the service itself included, in
     * no particular order.
     */
    public Collection<VersionedResource> resourcesOf(String service) {
        ServiceResources found = services.get(service);
        return found == null
                ? List.of()
                : Collections.unmodifiableCollection(found.resources.values());
    }

    /** Returns all resources in no particular order. */
    public Stream<VersionedResource> resources() {
        return services.values().stream().flatMap(service -> service.resources.values().stream());
    }

    /** Returns the number of resources. */
    public int size() {
        return size;
    }

    /** Returns the digest of all resources in a scope. */
    public Digest digest(Scope scope) {
        long sum = 0;
        if (scope.isAll()) {
            for (ServiceResources service : services.values()) {
                sum += service.digest.value();
            }
        } else {
            for (String name : scope.services()) {
                ServiceResources service = services.get(name);
                sum += service == null ? 0 : service.digest.value();
            }
        }
        return new Digest(sum);
    }

    /** Adds or replaces a resource; returns the resource it replaced, or null if there was none. */
    public VersionedResource put(VersionedResource resource) {
        ServiceResources service =
                services.computeIfAbsent(resource.id().service(), name -> new ServiceResources());
        VersionedResource before = service.resources.put(resource.id(), resource);
        service.digest = service.digest.plus(ResourceCodec.hash(resource));
        if (before == null) {
            size++;
        } else {
            service.digest = service.digest.minus(ResourceCodec.hash(before));
        }
        return before;
    }

    /** Deletes a resource and returns it, or returns null if there was none. */
    public VersionedResource delete(ResourceId id) {
        ServiceResources service = services.get(id.service());
        VersionedResource before = service == null ? null : service.resources.remove(id);
        if (before == null) {
            return null;
        }
        size--;
        service.digest = service.digest.minus(ResourceCodec.hash(before));
        if (service.resources.isEmpty()) {
            services.remove(id.service());
        }
        return before;
    }

    /** Applies a change that {@link ChangeCheck} has accepted and sets the revision. */
    public void apply(Revision next, Change change) {
        for (ResourceId id : change.delete()) {
            delete(id);
        }
        for (Resource resource : change.put()) {
            put(new VersionedResource(next, resource));
        }
        advance(next);
    }
}
