package loadbalancer.control.subscribe;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;

/**
 * A staged snapshot. Its parts are put directly into a new state, which replaces the previous one
 * at the end, so there are never more than two copies of the state. Not thread-safe.
 */
final class StagedSnapshot implements StagedUpdate {
    private final ResourceState previous;
    private final Scope scope;
    private final ResourceState next = new ResourceState();

    StagedSnapshot(ResourceState previous, Scope scope) {
        this.previous = previous;
        this.scope = scope;
    }

    @Override
    public void put(VersionedResource resource) {
        next.put(resource);
    }

    @Override
    public void delete(ResourceId id) {
        next.delete(id);
    }

    @Override
    public Digest digest() {
        return next.digest(scope);
    }

    @Override
    public Set<String> services() {
        Set<String> all = new HashSet<>(previous.services());
        all.addAll(next.services());
        return all;
    }

    @Override
    public Collection<VersionedResource> putResources(String service) {
        return next.resourcesOf(service);
    }

    @Override
    public int checkCost(String service) {
        return next.resourcesOf(service).size();
    }

    @Override
    public Resource get(ResourceId id) {
        VersionedResource found = next.get(id);
        return found == null ? null : found.resource();
    }

    @Override
    public Stream<Resource> resourcesOf(String service) {
        return next.resourcesOf(service).stream().map(VersionedResource::resource);
    }

    @Override
    public UpdateApplication application() {
        return new Application();
    }

    /** The application of a snapshot, which has no work to do because the new state is complete. */
    private final class Application implements UpdateApplication {
        @Override
        public boolean run(int resources) {
            return true;
        }

        @Override
        public ResourceState result() {
            return next;
        }

        @Override
        public boolean isSnapshot() {
            return true;
        }

        @Override
        public List<VersionedResource> put() {
            return List.of();
        }

        @Override
        public List<ResourceId> deleted() {
            return List.of();
        }
    }
}
