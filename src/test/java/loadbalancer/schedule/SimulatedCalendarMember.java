package loadbalancer.schedule;

import static loadbalancer.schedule.SimulatedCalendarFleet.SECOND;
import static loadbalancer.schedule.SimulatedCalendarFleet.START;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.InvalidScheduleException;
import loadbalancer.schedule.window.UpstreamAttributes;

/** A member of a {@link SimulatedCalendarFleet} with the replicated state it has received. */
final class SimulatedCalendarMember implements SharedState {
    private static final UpstreamAttributes UPSTREAM = new UpstreamAttributes("u", "a", "big", 0);

    final String name;
    final long clockErrorMicros;
    final List<String> logLines = new ArrayList<>();
    WeightSchedule schedule;
    boolean wasRestarted;
    long stoppedUntilMicros;
    long clockStepMicros;
    private final SimulatedCalendarFleet fleet;
    private final long monotonicAtStart;
    private byte[] file;
    private Map<String, Map<String, Document>> documents = new HashMap<>();
    private Map<String, Map<String, Flag>> flags = new HashMap<>();
    private Map<String, Long> heartbeats = new HashMap<>();
    private final Map<String, Long> heartbeatMicros = new HashMap<>();
    private Listener listener;
    private long incarnation;
    private long version;
    private long heartbeat;

    SimulatedCalendarMember(SimulatedCalendarFleet fleet, String name, long clockErrorMicros) {
        this.fleet = fleet;
        this.name = name;
        this.clockErrorMicros = clockErrorMicros;
        this.monotonicAtStart = fleet.random.nextLong(1L << 40);
    }

    private long monotonicMicros() {
        return fleet.nowMicros - START + monotonicAtStart;
    }

    private long wallMicros() {
        return fleet.nowMicros + clockErrorMicros + clockStepMicros;
    }

    /** Starts a new process of this member, without any replicated state. */
    void start(SavedCalendar saved) {
        incarnation++;
        documents = new HashMap<>();
        flags = new HashMap<>();
        heartbeats = new HashMap<>();
        heartbeatMicros.clear();
        schedule = new WeightSchedule(monotonicMicros(), wallMicros(), this, logLines::add);
        schedule.restore(monotonicMicros(), saved);
        if (file != null) {
            setFile(file);
        }
        long ofIncarnation = incarnation;
        long firstTickMicros = fleet.nowMicros + fleet.random.nextLong(SECOND);
        fleet.at(firstTickMicros, this, () -> tick(ofIncarnation, 0));
    }

    void setFile(byte[] text) {
        file = text;
        try {
            schedule.onFileRead(monotonicMicros(), CalendarFile.parse("file", text));
        } catch (InvalidScheduleException e) {
            throw new AssertionError(e);
        }
    }

    private void tick(long ofIncarnation, long count) {
        if (ofIncarnation != incarnation) {
            return;
        }
        heartbeat++;
        heartbeats.put(name, heartbeat);
        for (int i = 0; i < 2; i++) {
            SimulatedCalendarMember to = randomMember();
            if (to != this) {
                gossip(to);
            }
        }
        if (count % 2 == 0) {
            schedule.tick(monotonicMicros(), wallMicros());
            SimulatedCalendarMember peer = randomMember();
            if (peer != this) {
                sampleClock(peer, ofIncarnation);
            }
        }
        fleet.at(fleet.nowMicros + SECOND / 2, this, () -> tick(ofIncarnation, count + 1));
    }

    private SimulatedCalendarMember randomMember() {
        return fleet.members.get(fleet.random.nextInt(fleet.members.size()));
    }

    private void gossip(SimulatedCalendarMember to) {
        List<Item> items = new ArrayList<>();
        documents.values().forEach(byMember -> items.addAll(byMember.values()));
        flags.values().forEach(byMember -> items.addAll(byMember.values()));
        Map<String, Long> sentHeartbeats = new HashMap<>(heartbeats);
        fleet.send(this, to, () -> to.receive(items, sentHeartbeats));
    }

    private void sampleClock(SimulatedCalendarMember peer, long ofIncarnation) {
        long sentWallMicros = wallMicros();
        long sentMicros = monotonicMicros();
        fleet.send(
                this,
                peer,
                () -> {
                    long peerWallMicros = peer.wallMicros();
                    fleet.send(
                            peer,
                            this,
                            () -> {
                                if (ofIncarnation == incarnation) {
                                    schedule.onClockSample(
                                            monotonicMicros(),
                                            peer.name,
                                            (peerWallMicros
                                                            - sentWallMicros
                                                            + peerWallMicros
                                                            - wallMicros())
                                                    / 2,
                                            monotonicMicros() - sentMicros);
                                }
                            });
                });
    }

    private void receive(List<Item> items, Map<String, Long> receivedHeartbeats) {
        receivedHeartbeats.forEach(
                (member, received) -> {
                    if (received > heartbeats.getOrDefault(member, 0L)) {
                        heartbeats.put(member, received);
                        heartbeatMicros.put(member, monotonicMicros());
                    }
                });
        heartbeat = Math.max(heartbeat, heartbeats.getOrDefault(name, 0L));
        items.forEach(this::merge);
    }

    private void merge(Item item) {
        if (item instanceof Document document) {
            Map<String, Document> byMember =
                    documents.computeIfAbsent(document.topic(), topic -> new TreeMap<>());
            if (!document.member().equals(name)
                    && isNewer(document, byMember.get(document.member()))) {
                byMember.put(document.member(), document);
                listener.itemChanged(monotonicMicros(), document);
            }
        } else if (item instanceof Flag flag
                && flags.computeIfAbsent(flag.topic(), topic -> new TreeMap<>())
                                .putIfAbsent(flag.member(), flag)
                        == null) {
            listener.itemChanged(monotonicMicros(), flag);
        }
    }

    private static boolean isNewer(Document document, Document held) {
        return held == null
                || document.incarnation() > held.incarnation()
                || document.incarnation() == held.incarnation()
                        && document.version() > held.version();
    }

    double factor() {
        double factor = schedule.factors(monotonicMicros()).factorFor(UPSTREAM, "class", "tenant");
        return Math.rint(factor * 1e6) / 1e6;
    }

    /** Records that a request uses the present factor. */
    void use() {
        fleet.uses.add(new SimulatedCalendarFleet.Use(fleet.nowMicros, this, factor()));
    }

    /** Returns the true time at which the factors of this member change next. */
    long nextChangeMicros() {
        return schedule.factors(monotonicMicros()).validUntilMicros() - monotonicAtStart + START;
    }

    @Override
    public String self() {
        return name;
    }

    @Override
    public Set<String> roster() {
        return fleet.roster;
    }

    @Override
    public boolean isEligibleVoter(String member) {
        return fleet.roster.contains(member);
    }

    @Override
    public boolean isPresent(String member) {
        return sinceLastReceivedMicros(monotonicMicros(), member) < 10 * SECOND;
    }

    @Override
    public void publish(long now, String topic, byte[] body) {
        documents
                .computeIfAbsent(topic, key -> new TreeMap<>())
                .put(name, new Document(topic, name, incarnation, ++version, body));
    }

    @Override
    public Map<String, Document> documents(long now, String topic) {
        return documents.getOrDefault(topic, Map.of());
    }

    @Override
    public long sinceLastReceivedMicros(long now, String member) {
        return now - heartbeatMicros.getOrDefault(member, Long.MIN_VALUE / 2);
    }

    @Override
    public void raiseFlag(long now, String topic, byte[] reason) {
        flags.computeIfAbsent(topic, key -> new TreeMap<>())
                .put(name, new Flag(topic, name, reason));
    }

    @Override
    public Map<String, Flag> flags(String topic) {
        return flags.getOrDefault(topic, Map.of());
    }

    @Override
    public void publishCounters(long now, String topic, long window, long[] values) {}

    @Override
    public Map<String, Counters> counters(String topic, long window) {
        return Map.of();
    }

    @Override
    public void addListener(Listener newListener) {
        listener = newListener;
    }
}
