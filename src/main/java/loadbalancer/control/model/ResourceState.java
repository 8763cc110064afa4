package loadbalancer.control.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All resources at one revision, with a digest of each service that is updated as they change.
 * Mutable, for one thread; its owner lets nobody read it between the steps of an update.
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

    /** The revision that the resources are at. */
    public Revision revision() {
        return revision;
    }

    /**
     * Sets the revision that all resources are at now.
     *
     * @throws IllegalStateException if it is before the current one
     */
    public void advance(Revision next) {
        if (revision.isAfter(next)) {
            throw new IllegalStateException("revision " + next + " is before " + revision);
        }
        revision = next;
    }

    /** The resource of that identifier, or null. */
    public VersionedResource get(ResourceId id) {
        ServiceResources service = services.get(id.service());
        return service == null ? null : service.resources.get(id);
    }

    /** Whether there is such a service. */
    public boolean hasService(String service) {
        return get(ResourceId.ofService(service)) != null;
    }

    /** The names of all services; a view. */
    public Set<String> services() {
        return Collections.unmodifiableSet(services.keySet());
    }

    /** The resources of a service in no particular order, the service itself included; a view. */
    public Collection<VersionedResource> resourcesOf(String service) {
        ServiceResources found = services.get(service);
        return found == null
                ? List.of()
                : Collections.unmodifiableCollection(found.resources.values());
    }

    /** All resources in no particular order. */
    public Stream<VersionedResource> resources() {
        return services.values().stream().flatMap(service -> service.resources.values().stream());
    }

    /** How many resources there are. */
    public int size() {
        return size;
    }

    /** The digest of all resources in a scope. */
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

    /** Adds or replaces one resource; returns the one before, or null. */
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

    /** Deletes one resource; returns it, or null if there was none. */
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

    /** Applies a change that {@link ChangeCheck} has accepted. */
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
