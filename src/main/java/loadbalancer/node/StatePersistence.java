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
 * Keeps on a disk what this process knows, and hands it what the one before it knew. Gathered on
 * the loop a slice at a time; put into bytes and written elsewhere.
 */
final class StatePersistence {
    private static final System.Logger LOG = System.getLogger(StatePersistence.class.getName());

    /** The files' name, the same in every version: a later one reads what an earlier one wrote. */
    private static final String FILE_PREFIX = "yewyoke-";

    /** How often to write, and how often while another process takes over or this one does. */
    private static final long SAVE_MS = 1_000;

    private static final long HAND_OVER_MS = 200;

    /** So many upstreams at a time, or the loop would stand still on a large list. */
    private static final int SLICE = 200;

    private final Transport transport;
    private final EventLoop loop;
    private final Executor writer;
    private final SnapshotStore store;
    private final SiblingProcess sibling;
    private RequestDispatcher driver;
    private ListSource listSource;

    /** Of two processes the one that was there first writes. */
    private boolean follows;

    private boolean saving;
    private boolean failing;
    private boolean leaving;
    private long lastTurn;

    /** From the start until it has been recalled. */
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
        this.follows = sibling.lives();
        this.store =
                storage.disk() == null
                        ? null
                        : new SnapshotStore(
                                storage.disk(),
                                FILE_PREFIX + listen.toString().replaceAll("\\W+", "-"),
                                Long.toHexString(transport.random().nextLong()));
    }

    /**
     * Looks for what the process before this one knew, and gives the list to start from: the
     * configuration's, or that of a snapshot which is newer.
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
                                        "starts without what it knew: " + line));
        if (found.content() != null && found.content().isFromTheFuture(transport.wallMillis())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "what it knew was saved by a clock ahead of this one, and "
                            + "counts as an hour old");
        }
        loaded = found.content();
        return loaded != null
                        && loaded.isFresherThan(known.version(), known.entries().isEmpty(), origin)
                ? list(loaded, origin)
                : known;
    }

    private EndpointListUpdate list(Snapshot s, String origin) {
        List<EndpointListUpdate.Entry> entries = new ArrayList<>();
        for (ListedEndpoint e : s.listedEndpoints()) {
            try {
                entries.add(
                        new EndpointListUpdate.Entry(
                                e.id(),
                                Config.address(e.address()),
                                e.zone(),
                                e.machineKind(),
                                e.cellIndex(),
                                e.state(),
                                e.capacityWeight(),
                                e.startedAtMillis()));
            } catch (InvalidInputException bad) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "left out what it knew of " + e.id() + ": " + bad.getMessage());
            }
        }
        // A version means nothing to another service of the kind: that one is asked from the
        // beginning.
        return new EndpointListUpdate(
                s.discoveryAddress().equals(origin) ? s.listVersion() : 0, true, entries);
    }

    /** From now on keeps what these know, and begins with what was loaded. */
    void begin(RequestDispatcher from, ListSource list) {
        driver = from;
        listSource = list;
        if (loaded != null) {
            recall(loaded);
            loaded = null;
        }
        if (store != null) {
            RepeatingTask.every(loop, HAND_OVER_MS, "keeping what is known", this::turn);
        }
    }

    private void recall(Snapshot s) {
        long now = transport.wallMillis();
        driver.restoreState(
                s.ageMillis(now) * 1_000, s.listAgeMillis(now) * 1_000, s.policySnapshot());
    }

    private void turn() {
        boolean two = sibling.lives();
        follows &= two;
        long since = TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastTurn);
        if (two && follows) {
            follow();
        } else if (two || leaving || since >= SAVE_MS) {
            lastTurn = transport.nanoTime();
            save();
        }
    }

    /** While the other process still serves: what it has in flight, and what it learnt last. */
    private void follow() {
        if (!saving) {
            saving = true;
            BackgroundExecutor.call(writer, loop, store::read, this::followed, this::failed);
        }
    }

    private void followed(TwoGenerationFiles.ReadResult<Snapshot> found) {
        saving = false;
        if (found.content() != null) {
            recall(found.content());
        }
    }

    /** A stop has begun: from here on what is known is written more often. */
    void leaving() {
        leaving = true;
        loop.execute(this::save);
    }

    private void save() {
        if (store != null && !saving && !follows) {
            saving = true;
            gather(new ArrayList<>());
        }
    }

    private void gather(List<EndpointSnapshot> known) {
        LoadBalancerSnapshot part = driver.exportState(known.size(), SLICE);
        known.addAll(part.endpoints());
        if (part.endpoints().size() == SLICE) {
            loop.execute(() -> gather(known));
            return;
        }
        EndpointListUpdate list = driver.endpointTable().list();
        LoadBalancerSnapshot all =
                new LoadBalancerSnapshot(
                        part.responseTimeMicros(),
                        part.responseTimePerQueuedMicros(),
                        part.unitDurationMicros(),
                        part.warmWorkRate(),
                        part.requestCostMicros(),
                        part.requestsPerSecond(),
                        part.classes(),
                        known);
        long savedMs = transport.wallMillis();
        long quietMs = listSource.quietMs();
        String from = listSource.origin();
        BackgroundExecutor.run(
                writer,
                loop,
                () -> write(list, all, savedMs, quietMs, from),
                this::wrote,
                this::failed);
    }

    private void write(
            EndpointListUpdate list,
            LoadBalancerSnapshot memory,
            long savedMs,
            long quietMs,
            String from)
            throws IOException, InvalidSnapshotException {
        List<ListedEndpoint> entries = new ArrayList<>();
        for (EndpointListUpdate.Entry e : list.entries()) {
            String addr = e.address().getHostString() + ":" + e.address().getPort();
            entries.add(
                    new ListedEndpoint(
                            e.id(),
                            addr,
                            e.zone(),
                            e.machineKind(),
                            e.cell(),
                            e.state(),
                            e.capacityWeight(),
                            e.startedAtMillis()));
        }
        store.write(
                SnapshotFormat.write(
                        new Snapshot(savedMs, from, list.version(), quietMs, entries, memory)));
    }

    private void wrote() {
        saving = false;
        if (failing) {
            LOG.log(System.Logger.Level.INFO, "keeps what it knows again");
        }
        failing = false;
    }

    private void failed(Throwable failure) {
        saving = false;
        if (!failing) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't keep what it knows, and goes on without: " + failure);
        }
        failing = true;
    }
}
