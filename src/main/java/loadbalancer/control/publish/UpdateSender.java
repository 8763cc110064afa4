package loadbalancer.control.publish;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.publish.SubscriberSession.Activity;

/**
 * Sends parts to subscribers that are behind, within the byte limits. A subscriber whose connection
 * is not writable takes up only its cursor and one check per run. Confined to the publisher's
 * thread; times are the caller's monotonic clock in nanoseconds.
 */
final class UpdateSender {
    /**
     * The minimum time between runs: long enough for a run to send more than one part, and short
     * compared to the time in which the byte limits refill their burst.
     */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ResourceIndex index;
    private final PartAssembler assembler;
    private final RateLimiter totalByteRate;
    private final SendQueue ready = new SendQueue();
    private final DueQueue throttled = new DueQueue();
    private final Queue<SubscriberSession> blocked = new ArrayDeque<>();

    /** Creates a sender of the parts that the assembler builds from the index. */
    UpdateSender(ResourceIndex index, PartAssembler assembler, long bytesPerSecond) {
        this.index = index;
        this.assembler = assembler;
        this.totalByteRate = RateLimiter.ofBytes(bytesPerSecond);
    }

    /** Queues an idle subscriber if there is an update to send to it. */
    void offer(SubscriberSession session) {
        if (session.activity() == Activity.IDLE && session.cursor().isBehind(index)) {
            session.waitFor(Activity.READY);
            ready.add(session);
        }
    }

    /** Sends as much as is allowed now; returns the nanoseconds until more may be sent. */
    long run(long nowNanos) {
        wakeWritable(nowNanos);
        wakeThrottled(nowNanos);
        while (!ready.isEmpty() && totalByteRate.isPositive(nowNanos)) {
            serve(nowNanos, ready.next());
        }
        return nanosUntilNext(nowNanos);
    }

    /** Sends a heartbeat as soon as the connection is writable. */
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
        } else if (!byteRate.isPositive(nowNanos)) {
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
        for (int remaining = blocked.size(); remaining > 0; remaining--) {
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

    /** Queues a session whose connection is writable, or sends the heartbeat it was blocked on. */
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
