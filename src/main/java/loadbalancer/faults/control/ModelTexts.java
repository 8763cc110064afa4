package loadbalancer.faults.control;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.faults.control.oracle.Holding;
import loadbalancer.faults.control.oracle.ModelChange;
import loadbalancer.faults.control.oracle.ModelResource;
import loadbalancer.faults.control.oracle.ModelRevision;

/** Translates the program's records to the texts that the oracle compares. */
final class ModelTexts {
    private ModelTexts() {}

    static ModelRevision of(Revision revision) {
        return new ModelRevision(revision.epoch(), revision.number());
    }

    static ModelResource of(Revision revision, Resource resource) {
        ResourceId id = resource.id();
        return new ModelResource(id.service(), key(id), of(revision), resource.toString());
    }

    private static String key(ResourceId id) {
        return id.kind().name() + " " + id.name();
    }

    static ModelChange of(Revision revision, Change change) {
        List<ModelResource> put =
                change.put().stream().map(resource -> of(revision, resource)).toList();
        List<ModelChange.ModelKey> delete =
                change.delete().stream()
                        .map(id -> new ModelChange.ModelKey(id.service(), key(id)))
                        .toList();
        return new ModelChange(of(revision), put, delete);
    }

    static Holding of(String holder, Set<String> scope, ResourceState state) {
        return new Holding(holder, scope, of(state.revision()), of(state.resources().toList()));
    }

    private static List<ModelResource> of(Collection<VersionedResource> resources) {
        return resources.stream().map(held -> of(held.revision(), held.resource())).toList();
    }
}
