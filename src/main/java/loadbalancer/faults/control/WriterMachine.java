package loadbalancer.faults.control;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.store.ChangeStore;
import loadbalancer.control.store.DamagedLogException;
import loadbalancer.control.store.PendingChange;
import loadbalancer.faults.control.oracle.ModelRevision;
import loadbalancer.faults.control.oracle.Violation.Rule;

/**
 * The control machine that takes changes: a store on a disk in memory, and a publisher for the
 * followers.
 */
final class WriterMachine implements ControlServer {
    /** A process that ends by itself is started again after this time. */
    private static final long RESTART_NANOS = 300_000_000;

    /** The log is compacted far more often than its size asks for, so that crashes meet it. */
    private static final int CHANGES_BETWEEN_COMPACTIONS = 8;

    private final SimulationContext context;
    private final SimulationCounters counters;
    private final ChangeGenerator changes;
    private final VirtualHost host;
    private final RandomGenerator random;
    private MemoryLogDirectory disk;
    private Backup backup;
    private ChangeStore store;
    private PublisherEndpoint endpoint;
    private long leastEpoch = 1;
    private Change undecided;

    /** What was copied from the disk. */
    private record Backup(
            MemoryLogDirectory disk,
            ModelRevision revision,
            TreeMap<ResourceId, Resource> present) {}

    WriterMachine(SimulationContext context, SimulationCounters counters, ChangeGenerator changes) {
        this.context = context;
        this.counters = counters;
        this.changes = changes;
        this.host = new VirtualHost("writer", context.queue());
        this.random = context.newRandom();
        this.disk = new MemoryLogDirectory(context.newRandom());
    }

    @Override
    public VirtualHost host() {
        return host;
    }

    /** Whether a change that is submitted now is decided now. */
    boolean takesChanges() {
        return host.isRunning();
    }

    /** Starts on its disk; a crash on the way is another start later. */
    void start() {
        try {
            store = ChangeStore.open(disk, leastEpoch);
        } catch (MemoryLogDirectory.Crash | MemoryLogDirectory.DiskFailure planned) {
            crashed();
            context.queue().after(RESTART_NANOS, this::startIfDead);
            return;
        } catch (IOException | DamagedLogException e) {
            context.oracle().report(Rule.ACCEPTED_CHANGE_LOST, "the writer can't start: " + e);
            return;
        }
        disk.crashNoMore();
        context.trace().add(host.name(), "starts at " + store.state().revision());
        boolean found =
                context.oracle().writerStarted(ModelTexts.of(host.name(), Set.of(), store.state()));
        if (found && undecided != null) {
            changes.accepted(undecided);
        }
        undecided = null;
        Publisher publisher =
                new Publisher(
                        store.state(), context.settings().publisherLimits(), context.newRandom());
        endpoint = new PublisherEndpoint(context, host.name(), publisher, counters);
        host.start(() -> endpoint.publisher().run(context.now()));
        host.run();
    }

    /** Starts it unless it runs. */
    void startIfDead() {
        if (!host.isAlive()) {
            start();
        }
    }

    /** It ends at once; what it had not forced is lost. */
    void kill() {
        if (host.isAlive()) {
            disk.loseUnforced();
            host.kill();
            context.network().breakConnectionsOf(host);
        }
    }

    /** It crashes at one of its next steps on disk, or that step fails and it ends by itself. */
    void crashAfter(int steps, boolean byFailure) {
        disk.crashAfter(steps, byFailure);
    }

    private void crashed() {
        counters.crashes++;
        context.trace().add(host.name(), "crashes");
        disk.loseUnforced();
        host.kill();
        context.network().breakConnectionsOf(host);
    }

    /** Copies the disk, if it runs. */
    void backUp() {
        if (host.isRunning()) {
            backup = new Backup(disk.copy(), context.oracle().latest(), changes.copy());
        }
    }

    /**
     * The disk is lost: starts on the backup under a higher epoch; on its disk if there is no
     * backup.
     */
    void restoreFromBackup() {
        if (backup == null || host.isAlive()) {
            startIfDead();
            return;
        }
        disk = backup.disk().copy();
        leastEpoch = context.oracle().latest().epoch() + 1;
        undecided = null;
        changes.restore(backup.present());
        context.oracle().restoredFromBackup(backup.revision());
        start();
    }

    /** Submits a change; whether it has to be accepted is known. */
    void submit(Change change, boolean valid) {
        try {
            PendingChange pending = store.prepare(change);
            undecided = change;
            context.oracle().submitted(ModelTexts.of(pending.revision(), change));
            store.append(pending);
            accepted(pending, change, valid);
            if (store.isCompactionDue() || random.nextInt(CHANGES_BETWEEN_COMPACTIONS) == 0) {
                store.compact();
            }
        } catch (InvalidChangeException e) {
            refused(change, valid, e);
        } catch (MemoryLogDirectory.Crash crash) {
            crashed();
        } catch (IOException e) {
            context.trace().add(host.name(), "can't write: " + e.getMessage());
            crashed();
            context.queue().after(RESTART_NANOS, this::startIfDead);
        }
        host.run();
    }

    private void accepted(PendingChange pending, Change change, boolean valid) {
        context.oracle().accepted();
        undecided = null;
        changes.accepted(change);
        counters.accepted++;
        context.trace().add(host.name(), "accepts " + change.id() + " as " + pending.revision());
        if (!valid) {
            context.oracle().report(Rule.WRONG_VERDICT, "accepted " + change);
        }
        store.apply(pending);
        List<VersionedResource> put =
                change.put().stream()
                        .map(resource -> new VersionedResource(pending.revision(), resource))
                        .toList();
        endpoint.publisher().stateChanged(pending.revision(), put, change.delete());
    }

    private void refused(Change change, boolean valid, InvalidChangeException reason) {
        counters.refused++;
        context.trace().add(host.name(), "refuses " + change.id() + ": " + reason.getMessage());
        if (valid) {
            context.oracle()
                    .report(Rule.WRONG_VERDICT, "refused " + change + ": " + reason.getMessage());
        }
    }

    @Override
    public void subscribe(VirtualSubscription subscription, SubscribeRequest request) {
        endpoint.subscribe(subscription, request);
        host.run();
    }

    @Override
    public void ended(VirtualSubscription subscription) {
        endpoint.ended(subscription);
        host.run();
    }

    @Override
    public void acknowledge(Acknowledgement acknowledgement) {
        endpoint.acknowledge(acknowledgement);
        host.run();
    }
}
