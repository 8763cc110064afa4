package loadbalancer.control.publish;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.publish.SubscriberSession.Activity;

/**
 * Sends parts to subscribers that are behind, within the byte limits. A subscriber whose connection
 * is not writable costs its cursor, and one check in each run. For the publisher's thread, by the
 * caller's monotonic clock in nanoseconds.
 */
final class UpdateSender {
    /** Long enough that a run does more than one send; well within the burst of the byte limits. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ResourceIndex index;
    private final PartAssembler assembler;
    private final RateLimiter totalByteRate;
    private final SendQueue ready = new SendQueue();
    private final DueQueue throttled = new DueQueue();
    private final Queue<SubscriberSession> blocked = new ArrayDeque<>();

    /** Sends the parts that the assembler cuts from the index. */
    UpdateSender(ResourceIndex index, PartAssembler assembler, long bytesPerSecond) {
        this.index = index;
        this.assembler = assembler;
        this.totalByteRate = RateLimiter.ofBytes(bytesPerSecond);
    }

    /** Queues a subscriber if there is something to send to it. */
    void offer(SubscriberSession session) {
        if (session.activity() == Activity.IDLE && session.cursor().isBehind(index)) {
            session.waitFor(Activity.READY);
            ready.add(session);
        }
    }

    /** Sends what may be sent now; gives the nanoseconds until there may be more. */
    long run(long nowNanos) {
        wakeWritable(nowNanos);
        wakeThrottled(nowNanos);
        while (!ready.isEmpty() && totalByteRate.hasSome(nowNanos)) {
            serve(nowNanos, ready.next());
        }
        return nanosUntilNext(nowNanos);
    }

    /** Sends a heartbeat, as soon as the connection is writable. */
    void sendHeartbeat(long nowNanos, SubscriberSession session) {
        if (session.isWritable()) {
            session.sendHeartbeat(nowNanos);
        } else if (session.activity() == Activity.IDLE) {
            block(session);
        }
    }

    private void serve(long nowNanos, SubscriberSession session) {
        if (session.isClosed()) {
            return;
        }
        RateLimiter byteRate = session.byteRate();
        if (!session.isWritable()) {
            block(session);
        } else if (!byteRate.hasSome(nowNanos)) {
            throttle(nowNanos, session);
        } else {
            sendPart(nowNanos, session);
        }
    }

    private void sendPart(long nowNanos, SubscriberSession session) {
        session.waitFor(Activity.IDLE);
        UpdateCursor cursor = session.cursor();
        cursor.restartIfDeletionsAreDiscarded(index);
        UpdateLine part = assembler.next(index, cursor);
        totalByteRate.spend(part.line().length);
        session.byteRate().spend(part.line().length);
        cursor.advance(index, part);
        session.send(nowNanos, part.line());
        offer(session);
    }

    private void block(SubscriberSession session) {
        session.waitFor(Activity.BLOCKED);
        blocked.add(session);
    }

    private void throttle(long nowNanos, SubscriberSession session) {
        session.waitFor(Activity.THROTTLED);
        long pause = Math.max(MIN_PAUSE_NANOS, session.byteRate().nanosUntil(nowNanos, 1));
        throttled.add(session, nowNanos + pause);
    }

    private void wakeThrottled(long nowNanos) {
        SubscriberSession session = throttled.pollDue(nowNanos);
        while (session != null) {
            session.waitFor(Activity.IDLE);
            offer(session);
            session = throttled.pollDue(nowNanos);
        }
    }

    private void wakeWritable(long nowNanos) {
        for (int left = blocked.size(); left > 0; left--) {
            SubscriberSession session = blocked.remove();
            if (session.isClosed()) {
                continue;
            }
            if (session.isWritable()) {
                wake(nowNanos, session);
            } else {
                blocked.add(session);
            }
        }
    }

    /** A session that is not behind was blocked when a heartbeat was due. */
    private void wake(long nowNanos, SubscriberSession session) {
        session.waitFor(Activity.IDLE);
        offer(session);
        if (session.activity() == Activity.IDLE) {
            session.sendHeartbeat(nowNanos);
        }
    }

    private long nanosUntilNext(long nowNanos) {
        long next = throttled.nanosUntilNext(nowNanos);
        if (!ready.isEmpty()) {
            long pause = Math.max(MIN_PAUSE_NANOS, totalByteRate.nanosUntil(nowNanos, 1));
            next = Math.min(next, pause);
        }
        return next;
    }
}
