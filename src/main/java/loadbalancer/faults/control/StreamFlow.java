package loadbalancer.faults.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One direction of a connection: messages arrive in order, after a delay and at a limited rate,
 * unless the direction is silent, the receiver is stopped or it does not read.
 */
final class StreamFlow {
    /** Bytes on their way beyond which the sender's side says that it is not writable. */
    private static final int WINDOW_BYTES = 8 << 10;

    private static final long SECOND = 1_000_000_000;
    private static final long FAST_BYTES_PER_SECOND = 100_000_000;

    private final StreamNetwork network;
    private final VirtualHost from;
    private final VirtualHost to;
    private final long receiverLife;
    private final StreamConnection.EndListener endListener;
    private final Runnable whenDone;
    private final Deque<Message> messages = new ArrayDeque<>();
    private Runnable whenWritable = () -> {};
    private long bytesPerSecond = FAST_BYTES_PER_SECOND;
    private long lastDue;
    private long bytes;
    private boolean paused;
    private boolean done;
    private boolean ended;

    /** What arrives at a time. */
    private record Message(int size, long due, Runnable arrival) {}

    StreamFlow(
            StreamNetwork network,
            VirtualHost from,
            VirtualHost to,
            StreamConnection.EndListener endListener,
            Runnable whenDone) {
        this.network = network;
        this.from = from;
        this.to = to;
        this.receiverLife = to.life();
        this.endListener = endListener;
        this.whenDone = whenDone;
    }

    /** The receiver takes no more than this from now on, also of what is on its way. */
    void limitRate(long limit) {
        bytesPerSecond = limit;
        List<Message> waiting = List.copyOf(messages);
        messages.clear();
        bytes = 0;
        lastDue = network.queue().now();
        waiting.forEach(message -> enqueue(message.size(), message.arrival()));
    }

    /** Called when a full window has room again. */
    void whenWritable(Runnable action) {
        whenWritable = action;
    }

    /** Whether nothing more will arrive. */
    boolean isDone() {
        return done;
    }

    boolean isWritable() {
        return bytes < WINDOW_BYTES;
    }

    /** The receiver reads no more for now, or goes on reading. */
    void pauseReading(boolean pause) {
        paused = pause;
        if (!pause) {
            network.queue().after(0, this::deliver);
        }
    }

    /** Sends a message; the arrival runs at the receiver. */
    void send(int size, Runnable arrival) {
        if (!done && !ended) {
            enqueue(size, arrival);
        }
    }

    private void enqueue(int size, Runnable arrival) {
        long now = network.queue().now();
        long transfer = size * SECOND / bytesPerSecond;
        lastDue = Math.max(lastDue, now + network.delay()) + transfer;
        bytes += size;
        messages.add(new Message(size, lastDue, arrival));
        network.queue().at(lastDue, this::deliver);
    }

    /** The receiver hears the end behind all that was sent. */
    void end(String reason) {
        if (!ended && !done) {
            ended = true;
            enqueue(
                    0,
                    () -> {
                        abandon();
                        endListener.ended(reason);
                    });
        }
    }

    /** What has not arrived is lost, and the receiver hears the end. */
    void reset(String reason) {
        if (done) {
            return;
        }
        messages.clear();
        bytes = 0;
        paused = false;
        ended = false;
        end(reason);
    }

    /** The receiver wants nothing more. */
    void abandon() {
        if (!done) {
            done = true;
            messages.clear();
            bytes = 0;
            whenDone.run();
        }
    }

    /** Delivers all that may arrive now. */
    void deliver() {
        while (mayDeliver()) {
            boolean wasFull = !isWritable();
            Message message = messages.poll();
            bytes -= message.size();
            if (to.life() == receiverLife) {
                message.arrival().run();
            }
            if (wasFull && isWritable()) {
                whenWritable.run();
            }
        }
    }

    private boolean mayDeliver() {
        Message head = messages.peek();
        return head != null
                && head.due() <= network.queue().now()
                && !paused
                && !network.isSilent(from, to)
                && (to.isRunning() || !to.isAlive());
    }
}
