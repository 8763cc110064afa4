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

/**
 * All known members by name, of bounded size, and those present (alive or suspected) for random
 * picks. For the thread of {@link Swim}; times are microseconds of its monotonic clock.
 */
final class MemberTable {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    /** A random pick draws at most this many times as many members as it needs. */
    private static final int DRAWS_PER_MEMBER = 4;

    /** A member, and since when it is in its present state. */
    static final class Entry {
        private final long nameHash;
        private Member member;
        private long sinceMicros;

        /** Index in the list of present peers, or -1. */
        private int presentIndex = -1;

        Entry(long nameHash) {
            this.nameHash = nameHash;
        }

        Member member() {
            return member;
        }

        long sinceMicros() {
            return sinceMicros;
        }
    }

    private final String localName;
    private final int maxMembers;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> presentPeers = new ArrayList<>();

    MemberTable(String localName, int maxMembers) {
        this.localName = localName;
        this.maxMembers = maxMembers;
    }

    /** Whether a member of that health may be contacted. */
    static boolean isPresent(Health health) {
        return health == Health.ALIVE || health == Health.SUSPECT;
    }

    Member get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.member;
    }

    /** Adds or replaces a member. */
    void put(long nowMicros, Member member) {
        Entry entry =
                entries.computeIfAbsent(
                        member.name(), name -> new Entry(HASHER.hashCharsToLong(name)));
        entry.member = member;
        entry.sinceMicros = nowMicros;
        boolean isPresentPeer = isPresent(member.health()) && !member.name().equals(localName);
        if (isPresentPeer && entry.presentIndex < 0) {
            entry.presentIndex = presentPeers.size();
            presentPeers.add(entry);
        } else if (!isPresentPeer) {
            removeFromPresent(entry);
        }
    }

    /** Removes the member that is absent for longest and returns it; null if none is absent. */
    Member evictLongestAbsent() {
        Entry oldest = null;
        for (Entry entry : entries.values()) {
            if (!isPresent(entry.member.health())
                    && !entry.member.name().equals(localName)
                    && (oldest == null || entry.sinceMicros < oldest.sinceMicros)) {
                oldest = entry;
            }
        }
        return oldest == null ? null : remove(oldest.member.name());
    }

    boolean isFull() {
        return entries.size() >= maxMembers;
    }

    Member remove(String name) {
        Entry entry = entries.remove(name);
        removeFromPresent(entry);
        return entry.member;
    }

    private void removeFromPresent(Entry entry) {
        if (entry.presentIndex >= 0) {
            Entry last = presentPeers.remove(presentPeers.size() - 1);
            if (last != entry) {
                presentPeers.set(entry.presentIndex, last);
                last.presentIndex = entry.presentIndex;
            }
            entry.presentIndex = -1;
        }
    }

    Collection<Member> members() {
        List<Member> members = new ArrayList<>(entries.size());
        entries.values().forEach(entry -> members.add(entry.member));
        return members;
    }

    /** The members that are dead or have left. */
    List<Entry> absentEntries() {
        List<Entry> absent = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!isPresent(entry.member.health())) {
                absent.add(entry);
            }
        }
        return absent;
    }

    /** How many others are alive or suspected. */
    int presentPeerCount() {
        return presentPeers.size();
    }

    /** How many members are alive or suspected, this one included. */
    int presentCount() {
        return presentPeers.size() + 1;
    }

    /** The others that are alive or suspected. */
    List<Member> presentPeers() {
        List<Member> members = new ArrayList<>(presentPeers.size());
        presentPeers.forEach(entry -> members.add(entry.member));
        return members;
    }

    /** Up to {@code count} distinct present peers that match, drawn at random. */
    List<Member> sample(int count, RandomGenerator random, Predicate<Member> filter) {
        List<Member> sample = new ArrayList<>(count);
        if (presentPeers.size() <= DRAWS_PER_MEMBER * count) {
            presentPeers.forEach(entry -> sample.add(entry.member));
            sample.removeIf(filter.negate());
            while (sample.size() > count) {
                sample.remove(random.nextInt(sample.size()));
            }
            return sample;
        }
        // Most members match; a bound of draws makes the cost independent of the fleet's size.
        for (int i = 0; i < DRAWS_PER_MEMBER * count && sample.size() < count; i++) {
            Member member = presentPeers.get(random.nextInt(presentPeers.size())).member;
            if (filter.test(member) && !sample.contains(member)) {
                sample.add(member);
            }
        }
        return sample;
    }

    /**
     * The alive members that collect confirmations of a suspicion, by rendezvous hashing (Thaler
     * and Ravishankar 1998): the same at all members that know the same fleet.
     */
    List<Member> confirmationCollectors(String suspectName, int count) {
        Entry suspect = entries.get(suspectName);
        if (suspect == null) {
            return List.of();
        }
        return Stream.concat(presentPeers.stream(), Stream.of(entries.get(localName)))
                .filter(entry -> entry != suspect && entry.member.health() == Health.ALIVE)
                .sorted(
                        Comparator.comparingLong(
                                entry ->
                                        HASHER.hashStream()
                                                .putLong(entry.nameHash)
                                                .putLong(suspect.nameHash)
                                                .getAsLong()))
                .limit(count)
                .map(entry -> entry.member)
                .toList();
    }

    /** The members of one of {@code 1 << level} groups by the hash of their names. */
    List<Member> group(int level, long group) {
        List<Member> members = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (isInGroup(entry, level, group)) {
                members.add(entry.member);
            }
        }
        return members;
    }

    /**
     * An order-independent hash of the present members of a group with their incarnations. It
     * ignores suspicions, which end by themselves, and absent members, which are forgotten at
     * different times.
     */
    long hash(int level, long group) {
        long sum = 0;
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            if (isPresent(member.health()) && isInGroup(entry, level, group)) {
                sum +=
                        HASHER.hashStream()
                                .putLong(entry.nameHash)
                                .putLong(member.incarnation())
                                .putLong(member.bootId())
                                .getAsLong();
            }
        }
        return sum;
    }

    private static boolean isInGroup(Entry entry, int level, long group) {
        return level == 0 || entry.nameHash >>> Long.SIZE - level == group;
    }
}
