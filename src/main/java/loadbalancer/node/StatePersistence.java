package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotStore;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Writes snapshots of the learnt state and the endpoint list to files, and restores the snapshot of
 * the previous process. The state is collected on the event loop, a batch of endpoints at a time;
 * the storage's executor serialises and writes it. Intervals are measured by the transport's
 * monotonic clock, ages by its wall clock.
 */
final class StatePersistence {
    private static final System.Logger LOG = System.getLogger(StatePersistence.class.getName());

    /** Prefix of the files' names, the same in every version: a later one reads earlier files. */
    private static final String FILE_PREFIX = "yewyoke-";

    /** Interval between snapshots. */
    private static final long SAVE_INTERVAL_MILLIS = 1_000;

    /** Interval between writing or reading snapshots during a hand-over. */
    private static final long HAND_OVER_INTERVAL_MILLIS = 200;

    /** Endpoints collected in one task, so that a large list does not block the event loop. */
    private static final int MAX_ENDPOINTS_PER_TASK = 200;

    private final Transport transport;
    private final EventLoop loop;
    private final Executor writer;
    private final SnapshotStore store;
    private final SiblingProcess sibling;
    private RequestDispatcher dispatcher;
    private ListSource listSource;

    /** Whether the sibling started before this process; only the first of the two writes. */
    private boolean startedSecond;

    private boolean isAccessingFiles;
    private boolean hasFailed;
    private boolean isStopping;
    private long savedAtNanos;

    /** The snapshot read at the start; null after it was restored. */
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
     * Reads the snapshot of the previous process, and returns the endpoint list to start with: the
     * snapshot's if it is newer than the given one.
     *
     * @param known the configuration's endpoint list
     * @param origin origin of the lists that will follow, see {@link ListSource#origin}
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
                                        "skipped a state file: " + line));
        if (found.content() != null && found.content().isFromFuture(transport.wallMillis())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "the stored state was written by a clock ahead of this one: it is treated as"
                            + " one hour old");
        }
        loaded = found.content();
        return loaded != null
                        && loaded.isFresherThan(known.version(), known.entries().isEmpty(), origin)
                ? listOf(loaded, origin)
                : known;
    }

    private static EndpointListUpdate listOf(Snapshot snapshot, String origin) {
        // Versions apply to one list source only: another one is read from version 0.
        return EndpointListSnapshots.list(
                snapshot, snapshot.discoveryAddress().equals(origin) ? snapshot.listVersion() : 0);
    }

    /**
     * Restores the snapshot read at the start, and from now on saves the state of the dispatcher
     * and the list source.
     */
    void start(RequestDispatcher newDispatcher, ListSource newListSource) {
        dispatcher = newDispatcher;
        listSource = newListSource;
        if (loaded != null) {
            restore(loaded);
            loaded = null;
        }
        if (store != null) {
            RepeatingTask.every(loop, HAND_OVER_INTERVAL_MILLIS, "saving the state", this::poll);
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
        } else if (isSiblingRunning || isStopping || elapsedMillis >= SAVE_INTERVAL_MILLIS) {
            savedAtNanos = transport.nanoTime();
            save();
        }
    }

    /** Restores the latest state of a sibling that still serves, including requests in flight. */
    private void readSibling() {
        if (!isAccessingFiles) {
            isAccessingFiles = true;
            BackgroundExecutor.call(writer, loop, store::read, this::onRead, this::onFailure);
        }
    }

    private void onRead(TwoGenerationFiles.ReadResult<Snapshot> found) {
        isAccessingFiles = false;
        if (found.content() != null) {
            restore(found.content());
        }
    }

    /** Writes a snapshot, and from now on writes them more often, as a stop has begun. */
    void stopping() {
        isStopping = true;
        loop.execute(this::save);
    }

    private void save() {
        if (store != null && !isAccessingFiles && !startedSecond) {
            isAccessingFiles = true;
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
        CapturedEndpointList captured =
                CapturedEndpointList.of(dispatcher.endpointTable(), listSource, transport);
        BackgroundExecutor.run(
                writer,
                loop,
                () -> store.write(captured.encodeWith(learnt)),
                this::onWritten,
                this::onFailure);
    }

    private void onWritten() {
        isAccessingFiles = false;
        if (hasFailed) {
            LOG.log(System.Logger.Level.INFO, "keeps what it knows again");
        }
        hasFailed = false;
    }

    private void onFailure(Throwable failure) {
        isAccessingFiles = false;
        if (!hasFailed) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't keep what it knows, and goes on without: " + failure);
        }
        hasFailed = true;
    }
}
