package yewyoke.faults.control;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import yewyoke.control.model.Change;
import yewyoke.control.model.Resource;
import yewyoke.control.model.ResourceId;
import yewyoke.control.model.ResourceState;
import yewyoke.control.model.Revision;
import yewyoke.control.model.VersionedResource;
import yewyoke.faults.control.oracle.Holding;
import yewyoke.faults.control.oracle.ModelChange;
import yewyoke.faults.control.oracle.ModelResource;
import yewyoke.faults.control.oracle.ModelRevision;

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
        List<ModelResource> put = change.put().stream().map(resource -> of(revision, resource)).toList();
        List<ModelChange.ModelKey> delete = change.delete().stream()
                .map(id -> new ModelChange.ModelKey(id.service(), key(id))).toList();
        return new ModelChange(of(revision), put, delete);
    }

    static Holding of(String holder, Set<String> scope, ResourceState state) {
        return new Holding(holder, scope, of(state.revision()), of(state.resources().toList()));
    }

    private static List<ModelResource> of(Collection<VersionedResource> resources) {
        return resources.stream().map(held -> of(held.revision(), held.resource())).toList();
    }
}
