package loadbalancer.faults;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * One end of a connection. What is sent arrives at the other end late, in order, and cut anywhere;
 * a receiver that takes nothing stops the sender once the window is full.
 */
final class End {
    /** What may be on its way and unread at a time. */
    static final int WINDOW = 64 * 1024;

    /** What the owner of an end gets to hear. */
    interface Owner {
        /** Bytes lie ready to be taken. */
        void readable();

        /** The other end says no more; what lies ready is the last of it. */
        void ended();

        /** The connection is gone, and what was on its way with it. */
        void reset();

        /** There is room in the window again. */
        void writable();
    }

    private final VirtualNetwork network;
    private final Host host;
    private End other;
    private Owner owner;
    private long ownedAt = -1;
    private final Deque<byte[]> ready = new ArrayDeque<>();
    private int unread;
    private int onTheWay;
    private boolean sentAll;
    private boolean closed;
    private boolean finished;
    private long lastArrival;
    private boolean blocked;
    private boolean answerWithReset;
    private boolean heardAfterItsEnd;
    private Runnable whenOtherEnds = () -> {};

    End(VirtualNetwork network, Host host) {
        this.network = network;
        this.host = host;
    }

    static void join(End a, End b) {
        a.other = b;
        b.other = a;
    }

    Host host() {
        return host;
    }

    End other() {
        return other;
    }

    void owner(Owner to) {
        owner = to;
        ownedAt = network.now();
        if (unread > 0) {
            to.readable();
        }
        if (finished) {
            to.ended();
        }
    }

    /** When somebody took it over, as accepting does, in microseconds; -1 if nobody has. */
    long ownedAt() {
        return ownedAt;
    }

    boolean isClosed() {
        return closed;
    }

    /** How many bytes may be sent now. */
    int room() {
        int room = WINDOW - other.unread - onTheWay;
        blocked = room <= 0;
        return Math.max(0, room);
    }

    /** Sends bytes for which there is room; to a connection that is gone they say so. */
    void send(byte[] bytes) {
        if (closed || sentAll || bytes.length == 0) {
            return;
        }
        onTheWay += bytes.length;
        for (int from = 0; from < bytes.length; ) {
            int length = network.cut(bytes.length - from);
            byte[] piece = Arrays.copyOfRange(bytes, from, from + length);
            from += length;
            arrive(
                    () -> {
                        onTheWay -= piece.length;
                        other.received(piece);
                    });
        }
    }

    /** Whether anything has come in since this end said that it says no more. */
    boolean heardAfterItsEnd() {
        return heardAfterItsEnd;
    }

    /**
     * Runs that in the moment in which the other end ends or closes, long before word of it is
     * here.
     */
    void whenOtherEnds(Runnable what) {
        whenOtherEnds = what;
    }

    /** Says no more; the other end may go on. */
    void shutdownOutput() {
        if (!closed && !sentAll) {
            sentAll = true;
            other.whenOtherEnds.run();
            arrive(() -> other.heardEnd());
        }
    }

    /**
     * Runs that at the other end after the network's delay, in order; never if either is cut off.
     */
    private void arrive(Runnable what) {
        long at = Math.max(lastArrival, network.now() + network.delay(host, other.host));
        lastArrival = at;
        network.at(
                at,
                () -> {
                    if (network.reaches(host, other.host) && !other.closed) {
                        what.run();
                    }
                });
    }

    private void received(byte[] piece) {
        heardAfterItsEnd |= sentAll;
        ready.add(piece);
        unread += piece.length;
        if (owner != null) {
            owner.readable();
        }
    }

    private void heardEnd() {
        finished = true;
        if (owner != null) {
            owner.ended();
        }
    }

    /** Takes up to {@code most} of the bytes that lie ready. */
    byte[] take(int most) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!ready.isEmpty() && out.size() < most) {
            byte[] piece = ready.poll();
            int wanted = Math.min(piece.length, most - out.size());
            out.write(piece, 0, wanted);
            if (wanted < piece.length) {
                ready.addFirst(Arrays.copyOfRange(piece, wanted, piece.length));
            }
        }
        unread -= out.size();
        if (out.size() > 0 && other.blocked && !other.closed) {
            network.in(
                    network.delay(host, other.host),
                    () -> {
                        if (other.blocked
                                && !other.closed
                                && other.owner != null
                                && other.room() > 0) {
                            other.owner.writable();
                        }
                    });
        }
        return out.toByteArray();
    }

    boolean hasBytes() {
        return unread > 0;
    }

    boolean isFinished() {
        return finished && unread == 0;
    }

    /** Closes as a process does: in order if all was read, with a reset if not. */
    void close() {
        if (closed) {
            return;
        }
        boolean rude = unread > 0;
        if (!rude) {
            shutdownOutput();
        }
        closed = true;
        network.closed(this);
        if (rude) {
            resetOther();
        } else if (!other.closed) {
            // What still comes meets a closed socket and is answered by a reset.
            other.answerWithReset = true;
        }
    }

    /** Whether the other end is closed: what is sent now comes back as a reset. */
    boolean meetsReset() {
        return answerWithReset;
    }

    /** Breaks the connection at once. */
    void breakOff() {
        if (!closed) {
            closed = true;
            network.closed(this);
            resetOther();
        }
    }

    private void resetOther() {
        long at = Math.max(lastArrival, network.now() + network.delay(host, other.host));
        network.at(
                at,
                () -> {
                    if (network.reaches(host, other.host)) {
                        other.gotReset();
                    }
                });
    }

    void gotReset() {
        if (!closed) {
            closed = true;
            network.closed(this);
            if (owner != null) {
                owner.reset();
            }
        }
    }
}
