package loadbalancer.control.publish;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Schedules the subscribers that have a part to be sent. An update starts in the queue of short
 * updates and moves to the queue of long ones once {@value #SHORT_UPDATE_BYTES} bytes of it are
 * sent, so small updates overtake large ones. Long updates don't starve: while both queues have
 * entries, at most {@value #SHORT_TURNS} turns of the short queue are followed by one turn of the
 * long queue. Each queue is served round robin, one part per turn. Confined to the publisher's
 * thread.
 */
final class SendQueue {
    /** The number of sent bytes from which an update counts as long. */
    static final int SHORT_UPDATE_BYTES = 64 << 10;

    /** The number of turns of short updates for each turn of a long one. */
    static final int SHORT_TURNS = 3;

    private final Queue<SubscriberSession> shortUpdates = new ArrayDeque<>();
    private final Queue<SubscriberSession> longUpdates = new ArrayDeque<>();
    private int shortTurns;

    /** Adds a subscriber at the end of the queue that matches the size of its update. */
    void add(SubscriberSession session) {
        boolean isShort = session.cursor().bytesInUpdate() < SHORT_UPDATE_BYTES;
        Queue<SubscriberSession> queue = isShort ? shortUpdates : longUpdates;
        queue.add(session);
    }

    /** Returns whether both queues are empty. */
    boolean isEmpty() {
        return shortUpdates.isEmpty() && longUpdates.isEmpty();
    }

    /** Removes and returns the next subscriber to serve; null if both queues are empty. */
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
