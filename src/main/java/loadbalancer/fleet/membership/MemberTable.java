package loadbalancer.fleet.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/** Who is known, by name, of bounded size; and those that may be talked to, for random picks. */
final class MemberTable {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    /** A member, and since when it is held so. */
    static final class Entry {
        private final long nameHash;
        private Member member;
        private long since;
        private int place = -1;

        Entry(long nameHash) {
            this.nameHash = nameHash;
        }

        Member member() {
            return member;
        }

        long since() {
            return since;
        }
    }

    private final String self;
    private final int most;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> present = new ArrayList<>();

    MemberTable(String self, int most) {
        this.self = self;
        this.most = most;
    }

    static boolean isPresent(Health health) {
        return health == Health.ALIVE || health == Health.SUSPECT;
    }

    Member get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.member;
    }

    /** Holds it so from now on. */
    void put(long t, Member member) {
        Entry entry =
                entries.computeIfAbsent(member.name(), n -> new Entry(HASHER.hashCharsToLong(n)));
        entry.member = member;
        entry.since = t;
        boolean listed = isPresent(member.health()) && !member.name().equals(self);
        if (listed && entry.place < 0) {
            entry.place = present.size();
            present.add(entry);
        } else if (!listed) {
            unlist(entry);
        }
    }

    /** Whether there is room for one more; the one that is gone for longest makes it. */
    Member makeRoom() {
        Entry oldest = null;
        for (Entry entry : entries.values()) {
            if (!isPresent(entry.member.health())
                    && !entry.member.name().equals(self)
                    && (oldest == null || entry.since < oldest.since)) {
                oldest = entry;
            }
        }
        return oldest == null ? null : remove(oldest.member.name());
    }

    boolean full() {
        return entries.size() >= most;
    }

    Member remove(String name) {
        Entry entry = entries.remove(name);
        unlist(entry);
        return entry.member;
    }

    private void unlist(Entry entry) {
        if (entry.place >= 0) {
            Entry last = present.remove(present.size() - 1);
            if (last != entry) {
                present.set(entry.place, last);
                last.place = entry.place;
            }
            entry.place = -1;
        }
    }

    Collection<Member> members() {
        List<Member> all = new ArrayList<>(entries.size());
        entries.values().forEach(e -> all.add(e.member));
        return all;
    }

    /** Those gone, with the time since when. */
    List<Entry> gone() {
        List<Entry> gone = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!isPresent(entry.member.health())) {
                gone.add(entry);
            }
        }
        return gone;
    }

    /** How many others are alive or suspected. */
    int others() {
        return present.size();
    }

    /** All that are alive or suspected, this one too. */
    int fleet() {
        return present.size() + 1;
    }

    /** Some of the others that are present, each once. */
    List<Member> some(int count, RandomGenerator random, Predicate<Member> which) {
        List<Member> some = new ArrayList<>(count);
        if (present.size() <= 4 * count) {
            present.forEach(e -> some.add(e.member));
            some.removeIf(which.negate());
            while (some.size() > count) {
                some.remove(random.nextInt(some.size()));
            }
            return some;
        }
        // Most members fit; a bound of draws costs a pick now and then, and the fleet's size costs
        // nothing.
        for (int i = 0; i < 4 * count && some.size() < count; i++) {
            Member member = present.get(random.nextInt(present.size())).member;
            if (which.test(member) && !some.contains(member)) {
                some.add(member);
            }
        }
        return some;
    }

    /**
     * The alive members that hear who got no answer from the named one, by highest random weight
     * (Thaler and Ravishankar 1998): the same at all that know the same fleet.
     */
    List<Member> witnesses(String of, int count) {
        Entry suspect = entries.get(of);
        if (suspect == null) {
            return List.of();
        }
        return Stream.concat(present.stream(), Stream.of(entries.get(self)))
                .filter(e -> e != suspect && e.member.health() == Health.ALIVE)
                .sorted(
                        Comparator.comparingLong(
                                e ->
                                        HASHER.hashStream()
                                                .putLong(e.nameHash)
                                                .putLong(suspect.nameHash)
                                                .getAsLong()))
                .limit(count)
                .map(e -> e.member)
                .toList();
    }

    List<Member> present() {
        List<Member> all = new ArrayList<>(present.size());
        present.forEach(e -> all.add(e.member));
        return all;
    }

    /** The members of one of {@code 1 << level} groups by the hash of their names. */
    List<Member> group(int level, long group) {
        List<Member> members = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (in(entry, level, group)) {
                members.add(entry.member);
            }
        }
        return members;
    }

    /**
     * A hash of who of a group is present in which incarnation, the same in any order. A suspicion
     * takes its own course and does not count, nor do those gone, which members forget at different
     * times.
     */
    long hash(int level, long group) {
        long sum = 0;
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            if (isPresent(member.health()) && in(entry, level, group)) {
                sum +=
                        HASHER.hashStream()
                                .putLong(entry.nameHash)
                                .putLong(member.incarnation())
                                .putLong(member.boot())
                                .getAsLong();
            }
        }
        return sum;
    }

    private static boolean in(Entry entry, int level, long group) {
        return level == 0 || entry.nameHash >>> 64 - level == group;
    }
}
