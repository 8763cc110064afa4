package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The dissemination queue: the latest update about each member, piggybacked on packets a bounded
 * number of times that grows with the logarithm of the fleet (SWIM, section 4.1). An update that is
 * also received from others counts slightly as sent (Demers et al. 1987, rumor mongering with
 * feedback). For the thread of {@link Swim}; knows no time.
 */
final class UpdateQueue {
    /** Transmissions per power of ten of members; one more than memberlist's, for the feedback. */
    private static final int RETRANSMIT_MULTIPLIER = 5;

    /** A member that has just started knows few others, so the logarithm starts here. */
    private static final int MIN_LOG = 2;

    /**
     * Weight of a transmission against an update received from another. In an informed fleet each
     * member receives as often as it sends; with equal weights an update would stop too early.
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

        /** The local member's refutation first, then the least sent, the alive, the newest. */
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

    /** Queues an update in place of any earlier one about that member. */
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

    /** Another member sent the same update. */
    void onDuplicate(Member member, int fleetSize) {
        QueuedUpdate update = byName.get(member.name());
        if (update != null && update.member.equals(member)) {
            spend(update, 1, fleetSize);
        }
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /** The least sent updates that fit, without those about the excluded names. */
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

    /** How often an update is sent in a fleet of that size. */
    static int transmitLimit(int fleetSize) {
        return RETRANSMIT_MULTIPLIER
                * Math.max(MIN_LOG, (int) Math.ceil(Math.log10(fleetSize + 1.0)));
    }
}
