package loadbalancer.schedule;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.InvalidScheduleException;
import loadbalancer.schedule.window.Listed;

/**
 * Members with clocks of their own in virtual time, with a simple stand-in for what they share:
 * twice a second each tells two others all that it knows. True time is microseconds of UTC.
 */
final class VirtualFleet {
    static final long SECOND = 1_000_000;
    static final long START = 1_800_000_000L * SECOND;
    private static final Listed UP = new Listed("u", "a", "big", 0);

    private record Event(long at, long number, Member member, Runnable run) {}

    /** What a member used for a request. */
    record Use(long at, Member member, double factor) {}

    final SplittableRandom random;
    final List<Member> members = new ArrayList<>();
    final Set<String> roster = new TreeSet<>();
    final Set<String> cut = new HashSet<>(); // "from>to"
    final List<Use> uses = new ArrayList<>();
    double loss;
    long now = START;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long number;

    VirtualFleet(long seed, int size, long worstClock) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            roster.add("m" + (10 + i));
        }
        int wrong = 0;
        for (String name : roster) {
            boolean off = wrong++ < (size - 1) / 3;
            members.add(
                    new Member(
                            name,
                            off
                                    ? random.nextLong(2 * worstClock + 1) - worstClock
                                    : random.nextLong(20_000) - 10_000));
        }
        members.forEach(m -> m.start(SavedCalendar.NOTHING));
    }

    static byte[] text(
            long revision, long from, double factor, String start, String rule, String length) {
        return ("revision = "
                        + revision
                        + "\nfrom = "
                        + java.time.Instant.ofEpochSecond(from / SECOND)
                        + "\n"
                        + "[[window]]\nname = \"w\"\nstart = "
                        + start
                        + "\nzone = \"UTC\"\nrrule = \""
                        + rule
                        + "\"\nlength = \""
                        + length
                        + "\"\ntarget = {}\nfactor = "
                        + factor
                        + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * A revision that is in force at all times from its instant on: its factor tells which it is.
     */
    static byte[] always(long revision, long from, double factor) {
        return text(revision, from, factor, "2026-01-01T00:00:00", "FREQ=DAILY", "PT24H");
    }

    void at(long time, Member member, Runnable run) {
        events.add(new Event(time, number++, member, run));
    }

    void runTo(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event e = events.poll();
            now = Math.max(now, e.at);
            if (e.member != null && e.member.stoppedUntil > now) {
                at(
                        e.member.stoppedUntil,
                        e.member,
                        e.run); // a stopped process reads it when it wakes
            } else {
                e.run.run();
            }
        }
        now = time;
    }

    void runFor(long span) {
        runTo(now + span);
    }

    /** What all members use at present. */
    Set<Double> factors() {
        Set<Double> all = new TreeSet<>();
        members.forEach(m -> all.add(m.factor()));
        return all;
    }

    void cutBetween(Set<Member> side) {
        for (Member a : members) {
            for (Member b : members) {
                if (side.contains(a) != side.contains(b)) {
                    cut.add(a.name + ">" + b.name);
                }
            }
        }
    }

    /** Delays of a network in one building, now and then of a queue. */
    private void send(Member from, Member to, Runnable run) {
        if (random.nextDouble() >= loss && !cut.contains(from.name + ">" + to.name)) {
            long delay =
                    100
                            + random.nextLong(900)
                            + (random.nextInt(20) == 0 ? random.nextLong(40_000) : 0);
            at(now + delay, to, run);
        }
    }

    final class Member implements SharedState {
        final String name;
        final long skew;
        final long monotonic = random.nextLong(1L << 40);
        final List<String> lines = new ArrayList<>();
        WeightSchedule calendar;
        boolean restarted;
        long stoppedUntil, jumped;
        byte[] file;
        Map<String, Map<String, Document>> documents = new HashMap<>();
        Map<String, Map<String, Flag>> flags = new HashMap<>();
        private Map<String, Long> beats = new HashMap<>();
        private final Map<String, Long> beatAt = new HashMap<>();
        private Listener listener;
        private long boot, version, beat;

        Member(String name, long skew) {
            this.name = name;
            this.skew = skew;
        }

        long mono() {
            return now - START + monotonic;
        }

        long wall() {
            return now + skew + jumped;
        }

        /** A new process of that name: what was shared is heard anew. */
        void start(SavedCalendar kept) {
            boot++;
            documents = new HashMap<>();
            flags = new HashMap<>();
            beats = new HashMap<>();
            beatAt.clear();
            calendar = new WeightSchedule(mono(), wall(), this, lines::add);
            calendar.recall(mono(), kept);
            if (file != null) {
                give(file);
            }
            long mine = boot;
            at(now + random.nextLong(SECOND), this, () -> tick(mine, 0));
        }

        void give(byte[] text) {
            file = text;
            try {
                calendar.file(mono(), CalendarFile.parse("file", text));
            } catch (InvalidScheduleException e) {
                throw new AssertionError(e);
            }
        }

        private void tick(long mine, long count) {
            if (mine != boot) {
                return;
            }
            beat++;
            beats.put(name, beat);
            for (int i = 0; i < 2; i++) {
                Member to = members.get(random.nextInt(members.size()));
                if (to != this) {
                    tell(to);
                }
            }
            if (count % 2 == 0) {
                calendar.tick(mono(), wall());
                Member peer = members.get(random.nextInt(members.size()));
                if (peer != this) {
                    ping(peer, mine);
                }
            }
            at(now + SECOND / 2, this, () -> tick(mine, count + 1));
        }

        private void tell(Member to) {
            List<Item> items = new ArrayList<>();
            documents.values().forEach(d -> items.addAll(d.values()));
            flags.values().forEach(f -> items.addAll(f.values()));
            Map<String, Long> heard = new HashMap<>(beats);
            send(to, () -> to.hear(items, heard));
        }

        private void ping(Member peer, long mine) {
            long sentWall = wall();
            long sent = mono();
            send(
                    peer,
                    () -> {
                        long there = peer.wall();
                        peer.send(
                                this,
                                () -> {
                                    if (mine == boot) {
                                        calendar.timed(
                                                mono(),
                                                peer.name,
                                                (there - sentWall + there - wall()) / 2,
                                                mono() - sent);
                                    }
                                });
                    });
        }

        private void send(Member to, Runnable run) {
            VirtualFleet.this.send(this, to, run);
        }

        private void hear(List<Item> items, Map<String, Long> heard) {
            heard.forEach(
                    (m, b) -> {
                        if (b > beats.getOrDefault(m, 0L)) {
                            beats.put(m, b);
                            beatAt.put(m, mono());
                        }
                    });
            beat = Math.max(beat, beats.getOrDefault(name, 0L));
            items.forEach(this::merge);
        }

        private void merge(Item item) {
            if (item instanceof Document d) {
                Document old =
                        documents.computeIfAbsent(d.topic(), t -> new TreeMap<>()).get(d.member());
                if (!d.member().equals(name)
                        && (old == null
                                || d.incarnation() > old.incarnation()
                                || d.incarnation() == old.incarnation()
                                        && d.version() > old.version())) {
                    documents.get(d.topic()).put(d.member(), d);
                    listener.itemChanged(mono(), d);
                }
            } else if (item instanceof Flag f
                    && flags.computeIfAbsent(f.topic(), t -> new TreeMap<>())
                                    .putIfAbsent(f.member(), f)
                            == null) {
                listener.itemChanged(mono(), f);
            }
        }

        double factor() {
            return Math.rint(calendar.factors(mono()).of(UP, "c", "t") * 1e6) / 1e6;
        }

        void use() {
            uses.add(new Use(now, this, factor()));
        }

        /** True time of the next change, as this member has it. */
        long nextChange() {
            return calendar.factors(mono()).validUntil() - monotonic + START;
        }

        @Override
        public String self() {
            return name;
        }

        @Override
        public Set<String> roster() {
            return roster;
        }

        @Override
        public boolean isEligibleVoter(String member) {
            return roster.contains(member);
        }

        @Override
        public boolean isAlive(String member) {
            return sinceHeardMicros(mono(), member) < 10 * SECOND;
        }

        @Override
        public void publish(long at, String topic, byte[] body) {
            documents
                    .computeIfAbsent(topic, t -> new TreeMap<>())
                    .put(name, new Document(topic, name, boot, ++version, body));
        }

        @Override
        public Map<String, Document> documents(long at, String topic) {
            return documents.getOrDefault(topic, Map.of());
        }

        @Override
        public long sinceHeardMicros(long at, String member) {
            return at - beatAt.getOrDefault(member, Long.MIN_VALUE / 2);
        }

        @Override
        public void raiseFlag(long at, String topic, byte[] reason) {
            flags.computeIfAbsent(topic, t -> new TreeMap<>())
                    .put(name, new Flag(topic, name, reason));
        }

        @Override
        public Map<String, Flag> flags(String topic) {
            return flags.getOrDefault(topic, Map.of());
        }

        @Override
        public void publishCounters(long at, String topic, long window, long[] values) {}

        @Override
        public Map<String, Counters> counters(String topic, long window) {
            return Map.of();
        }

        @Override
        public void addListener(Listener to) {
            listener = to;
        }
    }
}
