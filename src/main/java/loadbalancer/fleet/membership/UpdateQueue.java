package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The dissemination queue of membership: the latest update about each member, piggybacked on a
 * limited number of packets that grows with the logarithm of the fleet's size (SWIM, section 4.1).
 * An update that is received again counts as a fraction of a transmission (Demers et al. 1987,
 * rumor mongering with feedback). For the thread of {@link Swim}; independent of time.
 */
final class UpdateQueue {
    /**
     * Transmissions per power of ten of members: one more than memberlist's 4, to compensate for
     * the feedback.
     */
    private static final int RETRANSMIT_MULTIPLIER = 5;

    /** Minimum of the logarithm, for a member that has just started and knows few others. */
    private static final int MIN_LOG = 2;

    /**
     * Weight of a transmission relative to a received duplicate. Once most members know an update,
     * each receives it as often as it sends it, so equal weights would end its dissemination early.
     */
    private static final int TRANSMISSION_WEIGHT = 8;

    private static final class QueuedUpdate implements Comparable<QueuedUpdate> {
        private final Member member;
        private final boolean isLocal;
        private final long sequence;
        private int weightSpent;

        QueuedUpdate(Member member, boolean isLocal, long sequence) {
            this.member = member;
            this.isLocal = isLocal;
            this.sequence = sequence;
        }

        /** Orders by: the local member first, fewest transmissions, alive members, newest. */
        @Override
        public int compareTo(QueuedUpdate other) {
            if (isLocal != other.isLocal) {
                return isLocal ? -1 : 1;
            }
            if (weightSpent != other.weightSpent) {
                return Integer.compare(weightSpent, other.weightSpent);
            }
            boolean isAlive = member.health() == Health.ALIVE;
            if (isAlive != (other.member.health() == Health.ALIVE)) {
                return isAlive ? -1 : 1;
            }
            return Long.compare(other.sequence, sequence);
        }
    }

    private final Map<String, QueuedUpdate> byName = new HashMap<>();
    private final TreeSet<QueuedUpdate> bySendOrder = new TreeSet<>();
    private final String localName;
    private long nextSequence;

    UpdateQueue(String localName) {
        this.localName = localName;
    }

    /** Queues an update, replacing an earlier one about that member. */
    void enqueue(Member member) {
        remove(member.name());
        QueuedUpdate update =
                new QueuedUpdate(member, member.name().equals(localName), nextSequence++);
        byName.put(member.name(), update);
        bySendOrder.add(update);
    }

    void remove(String name) {
        QueuedUpdate old = byName.remove(name);
        if (old != null) {
            bySendOrder.remove(old);
        }
    }

    /** Records that another member sent the same update. */
    void onDuplicate(Member member, int fleetSize) {
        QueuedUpdate update = byName.get(member.name());
        if (update != null && update.member.equals(member)) {
            spend(update, 1, fleetSize);
        }
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the least sent updates that fit and are not about the excluded names. */
    List<Member> poll(int maxUpdates, int maxBytes, Set<String> excludedNames, int fleetSize) {
        List<QueuedUpdate> polled = new ArrayList<>(Math.min(maxUpdates, byName.size()));
        int bytesLeft = maxBytes;
        for (QueuedUpdate update : bySendOrder) {
            if (polled.size() >= maxUpdates) {
                break;
            }
            int bytes = MemberFormat.encodedBytes(update.member);
            if (bytes <= bytesLeft && !excludedNames.contains(update.member.name())) {
                polled.add(update);
                bytesLeft -= bytes;
            }
        }
        List<Member> members = new ArrayList<>(polled.size());
        for (QueuedUpdate update : polled) {
            members.add(update.member);
            spend(update, TRANSMISSION_WEIGHT, fleetSize);
        }
        return members;
    }

    private void spend(QueuedUpdate update, int weight, int fleetSize) {
        bySendOrder.remove(update);
        update.weightSpent += weight;
        if (update.weightSpent >= TRANSMISSION_WEIGHT * transmitLimit(fleetSize)) {
            byName.remove(update.member.name());
        } else {
            bySendOrder.add(update);
        }
    }

    /** Returns how often an update is sent in a fleet of that size. */
    static int transmitLimit(int fleetSize) {
        return RETRANSMIT_MULTIPLIER
                * Math.max(MIN_LOG, (int) Math.ceil(Math.log10(fleetSize + 1.0)));
    }
}
