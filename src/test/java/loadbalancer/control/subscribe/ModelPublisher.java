package loadbalancer.control.subscribe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/** Records the state at every revision as plain maps and builds updates between any two of them. */
final class ModelPublisher {
    private final TreeMap<Revision, Map<ResourceId, VersionedResource>> history = new TreeMap<>();

    ModelPublisher() {
        history.put(Revision.NONE, Map.of());
    }

    Revision latest() {
        return history.lastKey();
    }

    Collection<Revision> revisions() {
        return history.keySet();
    }

    Map<ResourceId, VersionedResource> stateAt(Revision revision) {
        return history.get(revision);
    }

    Revision put(Resource... resources) {
        return change(List.of(resources), List.of());
    }

    Revision change(List<Resource> put, List<ResourceId> delete) {
        Revision next = latest().equals(Revision.NONE) ? new Revision(1, 1) : latest().next();
        return changeTo(next, put, delete);
    }

    Revision changeTo(Revision next, List<Resource> put, List<ResourceId> delete) {
        Map<ResourceId, VersionedResource> state = new HashMap<>(history.lastEntry().getValue());
        delete.forEach(state::remove);
        put.forEach(resource -> state.put(resource.id(), new VersionedResource(next, resource)));
        history.put(next, state);
        return next;
    }

    Digest digest(Revision revision) {
        return new Digest(
                stateAt(revision).values().stream()
                        .mapToLong(resource -> ResourceCodec.hash(resource))
                        .sum());
    }

    List<UpdatePart> snapshot(Revision to, int partSize) {
        return parts(Revision.NONE, to, partSize);
    }

    List<UpdatePart> delta(Revision from, Revision to, int partSize) {
        return parts(from, to, partSize);
    }

    List<UpdatePart> parts(Revision from, Revision to, int partSize) {
        List<VersionedResource> put = new ArrayList<>(stateAt(to).values());
        put.removeIf(resource -> resource.equals(stateAt(from).get(resource.id())));
        Set<ResourceId> deleted = new HashSet<>(stateAt(from).keySet());
        deleted.removeAll(stateAt(to).keySet());
        List<UpdatePart> parts = new ArrayList<>();
        for (int begin = 0; begin < put.size(); begin += partSize) {
            List<VersionedResource> partResources =
                    put.subList(begin, Math.min(begin + partSize, put.size()));
            parts.add(new UpdatePart(from, parts.size(), partResources, List.of(), null));
        }
        parts.add(
                new UpdatePart(
                        from,
                        parts.size(),
                        List.of(),
                        List.copyOf(deleted),
                        new UpdatePart.Completion(to, digest(to))));
        return parts;
    }
}
