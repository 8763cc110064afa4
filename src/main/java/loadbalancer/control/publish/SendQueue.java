package loadbalancer.control.publish;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The order in which subscribers are sent their next parts. Updates begin in the short queue and
 * continue in the long one once they have sent {@value #SHORT_UPDATE_BYTES} bytes, so small updates
 * pass large ones. Guarantee: while both queues wait, one turn of the long queue follows at most
 * {@value #SHORT_TURNS} of the short one; within a queue it is round robin, one part each. For the
 * publisher's thread.
 */
final class SendQueue {
    /** Updates up to this size count as short. */
    static final int SHORT_UPDATE_BYTES = 64 << 10;

    /** Turns of short updates for each turn of a long one. */
    static final int SHORT_TURNS = 3;

    private final Queue<SubscriberSession> shortUpdates = new ArrayDeque<>();
    private final Queue<SubscriberSession> longUpdates = new ArrayDeque<>();
    private int shortTurns;

    /** Adds a subscriber at the end of the queue for its update. */
    void add(SubscriberSession session) {
        boolean isShort = session.cursor().bytesInUpdate() < SHORT_UPDATE_BYTES;
        Queue<SubscriberSession> queue = isShort ? shortUpdates : longUpdates;
        queue.add(session);
    }

    /** Whether both queues are empty. */
    boolean isEmpty() {
        return shortUpdates.isEmpty() && longUpdates.isEmpty();
    }

    /** Removes the subscriber whose turn it is; null if both queues are empty. */
    SubscriberSession next() {
        boolean isLongTurn = shortUpdates.isEmpty() || shortTurns >= SHORT_TURNS;
        if (isLongTurn && !longUpdates.isEmpty()) {
            shortTurns = 0;
            return longUpdates.remove();
        }
        shortTurns++;
        return shortUpdates.poll();
    }
}
