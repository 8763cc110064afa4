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
 * A bounded table of all known members by name, with a list of the present peers (alive or
 * suspected) for random selection. For the thread of {@link Swim}; times are microseconds of its
 * monotonic clock.
 */
final class MemberTable {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    /** Limits the draws of a random sample to this multiple of its size. */
    private static final int DRAWS_PER_MEMBER = 4;

    /** A member and the time at which its statement was last replaced. */
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

    /** Returns whether a member with that health is still contacted. */
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

    /** Removes and returns the member that has been absent longest; null if none is absent. */
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

    /** Returns the members that are dead or have left. */
    List<Entry> absentEntries() {
        List<Entry> absent = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!isPresent(entry.member.health())) {
                absent.add(entry);
            }
        }
        return absent;
    }

    /** Returns the number of other members that are alive or suspected. */
    int presentPeerCount() {
        return presentPeers.size();
    }

    /** Returns the number of members that are alive or suspected, including this one. */
    int presentCount() {
        return presentPeers.size() + 1;
    }

    /** Returns the other members that are alive or suspected. */
    List<Member> presentPeers() {
        List<Member> members = new ArrayList<>(presentPeers.size());
        presentPeers.forEach(entry -> members.add(entry.member));
        return members;
    }

    /** Returns up to {@code count} distinct random present peers that match the filter. */
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
        // Most members match; the limit of draws makes the cost independent of the fleet's size.
        for (int i = 0; i < DRAWS_PER_MEMBER * count && sample.size() < count; i++) {
            Member member = presentPeers.get(random.nextInt(presentPeers.size())).member;
            if (filter.test(member) && !sample.contains(member)) {
                sample.add(member);
            }
        }
        return sample;
    }

    /**
     * Returns the alive members that collect confirmations of a suspicion. Rendezvous hashing
     * (Thaler and Ravishankar 1998) selects the same ones at all members that know the same fleet.
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

    /** Returns the members of one of {@code 1 << level} groups, by the hash of their names. */
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
     * Returns an order-independent hash of a group's present members with their incarnations. It
     * ignores suspicions, which end by themselves, and absent members, which each table forgets at
     * its own time.
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
