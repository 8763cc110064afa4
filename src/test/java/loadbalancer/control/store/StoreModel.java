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
 * What a store has to hold: every change whose append returned, in order, and none that was never
 * appended.
 */
final class StoreModel {
    private final FaultyDirectory directory;
    private final List<PendingChange> acknowledged = new ArrayList<>();
    private PendingChange inDoubt;
    private Revision latest = Revision.NONE;
    private ChangeStore store;
    private int changes;

    StoreModel(FaultyDirectory directory) {
        this.directory = directory;
    }

    ChangeStore store() {
        return store;
    }

    /** Opens the store and compares it with the model; fails as the directory does. */
    void open(long leastEpoch) throws IOException, DamagedLogException {
        store = ChangeStore.open(directory, leastEpoch);
        settleDoubt();
        assertTrue(store.state().revision().isAfter(latest), "revision went back");
        assertTrue(store.epoch() > latest.epoch() && store.epoch() >= leastEpoch);
        compare();
    }

    /**
     * A change whose append failed may be there, once the log is opened again, or be gone for good.
     */
    private void settleDoubt() {
        if (inDoubt != null) {
            Optional<Revision> found = store.accepted(inDoubt.change().id());
            if (found.isPresent()) {
                acknowledged.add(inDoubt);
            }
            inDoubt = null;
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

    /** Makes one more change; an I/O error leaves it in doubt. */
    void change(int tenant) throws IOException {
        PendingChange pending = prepare(tenant);
        inDoubt = pending;
        store.append(pending);
        inDoubt = null;
        assertEquals(pending.revision(), store.apply(pending));
        acknowledged.add(pending);
        compare();
    }

    /** Tries the change once more whose append failed. */
    void appendAgain() throws IOException {
        store.append(inDoubt);
    }

    /** Puts a tenant, or deletes it if it is there, with its service where that is needed. */
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
