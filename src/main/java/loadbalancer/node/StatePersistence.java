package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.ListedEndpoint;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import loadbalancer.snapshot.SnapshotStore;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Writes snapshots of the learnt state and the endpoint list to files, and restores those of the
 * process before this one. The state is collected on the loop, some endpoints at a time; it is
 * serialised and written by the storage's executor. Intervals come from the transport's monotonic
 * clock, ages from its wall clock.
 */
final class StatePersistence {
    private static final System.Logger LOG = System.getLogger(StatePersistence.class.getName());

    /** The files' name, the same in every version: a later one reads what an earlier one wrote. */
    private static final String FILE_PREFIX = "yewyoke-";

    /** How often a snapshot is written. */
    private static final long SAVE_INTERVAL_MILLIS = 1_000;

    /** How often it is written or read while one process replaces another. */
    private static final long HAND_OVER_INTERVAL_MILLIS = 200;

    /** Endpoints collected in one task of the loop, which a large list would block. */
    private static final int MAX_ENDPOINTS_PER_TASK = 200;

    private final Transport transport;
    private final EventLoop loop;
    private final Executor writer;
    private final SnapshotStore store;
    private final SiblingProcess sibling;
    private RequestDispatcher dispatcher;
    private ListSource listSource;

    /** Whether the sibling was there first; of two processes that one writes. */
    private boolean startedSecond;

    private boolean isBusy;
    private boolean hasFailed;
    private boolean isLeaving;
    private long savedAtNanos;

    /** The snapshot found at the start; null once it is restored. */
    private Snapshot loaded;

    StatePersistence(
            Transport transport,
            StateStorage storage,
            SiblingProcess sibling,
            InetSocketAddress listen) {
        this.transport = transport;
        this.loop = transport.loop();
        this.writer = storage.writer();
        this.sibling = sibling;
        this.startedSecond = sibling.isRunning();
        this.store =
                storage.disk() == null
                        ? null
                        : new SnapshotStore(
                                storage.disk(),
                                FILE_PREFIX + listen.toString().replaceAll("\\W+", "-"),
                                Long.toHexString(transport.random().nextLong()));
    }

    /**
     * Reads the snapshot of the process before this one, and returns the list to start from: the
     * configuration's, or that of the snapshot if it is newer.
     *
     * @param origin of the lists that are to follow, see {@link ListSource#origin}
     */
    EndpointListUpdate load(EndpointListUpdate known, String origin) {
        if (store == null) {
            return known;
        }
        TwoGenerationFiles.ReadResult<Snapshot> found = store.read();
        found.rejections()
                .forEach(
                        line ->
                                LOG.log(
                                        System.Logger.Level.WARNING,
                                        "skipped a stored state: " + line));
        if (found.content() != null && found.content().isFromTheFuture(transport.wallMillis())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "the stored state was written by a clock ahead of this one, and "
                            + "counts as an hour old");
        }
        loaded = found.content();
        return loaded != null
                        && loaded.isFresherThan(known.version(), known.entries().isEmpty(), origin)
                ? listOf(loaded, origin)
                : known;
    }

    private EndpointListUpdate listOf(Snapshot snapshot, String origin) {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (ListedEndpoint endpoint : snapshot.listedEndpoints()) {
            try {
                entries.add(
                        new EndpointListUpdate.Entry(
                                endpoint.id(),
                                Config.address(endpoint.address()),
                                endpoint.zone(),
                                endpoint.machineKind(),
                                endpoint.cellIndex(),
                                endpoint.state(),
                                endpoint.capacityWeight(),
                                endpoint.startedAtMillis()));
            } catch (InvalidInputException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "left out what it knew of " + endpoint.id() + ": " + e.getMessage());
            }
        }
        // A version means nothing to another list source: that one is read from the beginning.
        return new EndpointListUpdate(
                snapshot.discoveryAddress().equals(origin) ? snapshot.listVersion() : 0,
                true,
                entries);
    }

    /** Restores the snapshot found at the start, and saves the state of these from now on. */
    void begin(RequestDispatcher requests, ListSource list) {
        dispatcher = requests;
        listSource = list;
        if (loaded != null) {
            restore(loaded);
            loaded = null;
        }
        if (store != null) {
            RepeatingTask.every(
                    loop, HAND_OVER_INTERVAL_MILLIS, "keeping what is known", this::poll);
        }
    }

    private void restore(Snapshot snapshot) {
        long nowMillis = transport.wallMillis();
        dispatcher.restoreState(
                snapshot.ageMillis(nowMillis) * 1_000,
                snapshot.listAgeMillis(nowMillis) * 1_000,
                snapshot.policySnapshot());
    }

    private void poll() {
        boolean isSiblingRunning = sibling.isRunning();
        startedSecond &= isSiblingRunning;
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - savedAtNanos);
        if (isSiblingRunning && startedSecond) {
            readSibling();
        } else if (isSiblingRunning || isLeaving || elapsedMillis >= SAVE_INTERVAL_MILLIS) {
            savedAtNanos = transport.nanoTime();
            save();
        }
    }

    /** While the other process still serves: restores what it has in flight and learnt last. */
    private void readSibling() {
        if (!isBusy) {
            isBusy = true;
            BackgroundExecutor.call(writer, loop, store::read, this::onRead, this::onFailure);
        }
    }

    private void onRead(TwoGenerationFiles.ReadResult<Snapshot> found) {
        isBusy = false;
        if (found.content() != null) {
            restore(found.content());
        }
    }

    /** A stop has begun: from now on snapshots are written more often. */
    void leaving() {
        isLeaving = true;
        loop.execute(this::save);
    }

    private void save() {
        if (store != null && !isBusy && !startedSecond) {
            isBusy = true;
            collect(new ArrayList<>());
        }
    }

    private void collect(List<EndpointSnapshot> collected) {
        LoadBalancerSnapshot part =
                dispatcher.exportState(collected.size(), MAX_ENDPOINTS_PER_TASK);
        collected.addAll(part.endpoints());
        if (part.endpoints().size() == MAX_ENDPOINTS_PER_TASK) {
            loop.execute(() -> collect(collected));
            return;
        }
        writeInBackground(withEndpoints(part, collected));
    }

    private static LoadBalancerSnapshot withEndpoints(
            LoadBalancerSnapshot part, List<EndpointSnapshot> endpoints) {
        return new LoadBalancerSnapshot(
                part.responseTimeMicros(),
                part.responseTimePerQueuedMicros(),
                part.unitDurationMicros(),
                part.warmWorkRate(),
                part.requestCostMicros(),
                part.requestsPerSecond(),
                part.classes(),
                endpoints);
    }

    private void writeInBackground(LoadBalancerSnapshot learnt) {
        EndpointListUpdate list = dispatcher.endpointTable().list();
        long savedAtMillis = transport.wallMillis();
        long quietMillis = listSource.quietMillis();
        String origin = listSource.origin();
        BackgroundExecutor.run(
                writer,
                loop,
                () -> write(list, learnt, savedAtMillis, quietMillis, origin),
                this::onWritten,
                this::onFailure);
    }

    private void write(
            EndpointListUpdate list,
            LoadBalancerSnapshot learnt,
            long savedAtMillis,
            long quietMillis,
            String origin)
            throws IOException, InvalidSnapshotException {
        List<ListedEndpoint> entries = new ArrayList<>();
        for (EndpointListUpdate.Entry entry : list.entries()) {
            String address = entry.address().getHostString() + ":" + entry.address().getPort();
            entries.add(
                    new ListedEndpoint(
                            entry.id(),
                            address,
                            entry.zone(),
                            entry.machineKind(),
                            entry.cell(),
                            entry.state(),
                            entry.capacityWeight(),
                            entry.startedAtMillis()));
        }
        store.write(
                SnapshotFormat.write(
                        new Snapshot(
                                savedAtMillis,
                                origin,
                                list.version(),
                                quietMillis,
                                entries,
                                learnt)));
    }

    private void onWritten() {
        isBusy = false;
        if (hasFailed) {
            LOG.log(System.Logger.Level.INFO, "keeps what it knows again");
        }
        hasFailed = false;
    }

    private void onFailure(Throwable failure) {
        isBusy = false;
        if (!hasFailed) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't keep what it knows, and goes on without: " + failure);
        }
        hasFailed = true;
    }
}
