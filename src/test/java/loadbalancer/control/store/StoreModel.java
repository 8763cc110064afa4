package loadbalancer.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;

/**
 * The expected content of a store, which is all changes whose append returned, in order, and no
 * change that was never appended.
 */
final class StoreModel {
    private final FaultyDirectory directory;
    private final List<PendingChange> acknowledged = new ArrayList<>();
    private PendingChange unknownOutcome;
    private Revision latest = Revision.NONE;
    private ChangeStore store;
    private int changes;

    StoreModel(FaultyDirectory directory) {
        this.directory = directory;
    }

    ChangeStore store() {
        return store;
    }

    /** Opens the store and compares it with the model; passes on failures of the directory. */
    void open(long minEpoch) throws IOException, DamagedLogException {
        store = ChangeStore.open(directory, minEpoch);
        resolveUnknownOutcome();
        assertTrue(store.state().revision().isAfter(latest), "revision decreased");
        assertTrue(store.epoch() > latest.epoch() && store.epoch() >= minEpoch);
        compare();
    }

    /** Resolves the outcome of a change whose append failed, which opening the log determines. */
    private void resolveUnknownOutcome() {
        if (unknownOutcome != null) {
            Optional<Revision> found = store.accepted(unknownOutcome.change().id());
            if (found.isPresent()) {
                acknowledged.add(unknownOutcome);
            }
            unknownOutcome = null;
        }
    }

    void compare() {
        ResourceState expected = new ResourceState();
        for (PendingChange change : acknowledged) {
            expected.apply(change.revision(), change.change());
            assertEquals(Optional.of(change.revision()), store.accepted(change.change().id()));
        }
        assertEquals(expected.size(), store.state().size());
        assertEquals(expected.digest(Scope.ALL), store.state().digest(Scope.ALL));
        assertEquals(expected.revision().number(), store.state().revision().number());
        latest = store.state().revision();
    }

    /** Makes a change; after an I/O error its outcome is unknown. */
    void change(int tenant) throws IOException {
        PendingChange pending = prepare(tenant);
        unknownOutcome = pending;
        store.append(pending);
        unknownOutcome = null;
        assertEquals(pending.revision(), store.apply(pending));
        acknowledged.add(pending);
        compare();
    }

    /** Appends the change whose append failed again. */
    void appendAgain() throws IOException {
        store.append(unknownOutcome);
    }

    /** Prepares a change that puts a tenant with its service, or deletes the tenant. */
    private PendingChange prepare(int tenant) {
        String service = "s" + tenant % 3;
        Resource resource = new Tenant(service, "t" + tenant, changes, 0);
        boolean deletes = store.state().get(resource.id()) != null && changes % 2 == 0;
        List<ResourceId> delete = deletes ? List.of(resource.id()) : List.of();
        List<Resource> put =
                deletes ? List.of() : List.of(new Service(service, List.of(), List.of()), resource);
        changes++;
        try {
            return store.prepare(new Change("change-" + changes, put, delete));
        } catch (InvalidChangeException e) {
            throw new AssertionError(e);
        }
    }
}
