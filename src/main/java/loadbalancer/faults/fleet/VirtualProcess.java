package loadbalancer.faults.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;
import loadbalancer.faults.fleet.VirtualMember.Origin;

/**
 * One process of a {@link VirtualFleet}: clock, socket buffer and life of a {@link VirtualMember}.
 * Its clock begins anywhere, and its wall clock may be wrong.
 *
 * @param <P> what a datagram holds
 */
public final class VirtualProcess<P> {
    /**
     * Datagrams that a stopped process's socket holds: a usual buffer of 208 KiB, of 800 bytes
     * each.
     */
    private static final int BUFFER = 266;

    private record Waiting<P>(P packet, Origin from) {}

    private final VirtualFleet<P> fleet;
    private final Origin origin;
    private final RandomGenerator random;
    private final long clockBegan;
    private final Deque<Waiting<P>> buffer = new ArrayDeque<>();
    private VirtualMember<P> member;
    private long wallOffset;
    private boolean stopped;
    private boolean dead;
    private long wakeEntered = Long.MAX_VALUE;
    private long sent;
    private long sentBytes;

    VirtualProcess(VirtualFleet<P> fleet, Origin origin, RandomGenerator random) {
        this.fleet = fleet;
        this.origin = origin;
        this.random = random;
        this.clockBegan = random.nextLong(1_000_000_000_000L);
    }

    /** Its name, address and boot ID. */
    public Origin origin() {
        return origin;
    }

    /** Chance of its own. */
    public RandomGenerator random() {
        return random;
    }

    /** Its own clock, microseconds. */
    public long now() {
        return clockBegan + fleet.now();
    }

    /** Its wall clock, microseconds since the epoch. */
    public long wall() {
        return VirtualFleet.EPOCH + fleet.now() + wallOffset;
    }

    /** Sets its wall clock so far ahead of the true one. */
    public void setWallOffset(long micros) {
        wallOffset = micros;
    }

    /** Sends a datagram. */
    public void send(String address, P packet) {
        if (!dead) {
            sent++;
            sentBytes += fleet.bytes(packet);
            fleet.carry(origin, address, packet);
        }
    }

    /** Datagrams sent so far. */
    public long sent() {
        return sent;
    }

    /** Bytes sent so far, by the fleet's measure. */
    public long sentBytes() {
        return sentBytes;
    }

    /** What runs in it. */
    public VirtualMember<P> member() {
        return member;
    }

    /** Whether it is there and not stopped. */
    public boolean runs() {
        return !dead && !stopped;
    }

    /** Whether it is there, but stopped. */
    public boolean isStopped() {
        return !dead && stopped;
    }

    void start(VirtualMember<P> what) {
        member = what;
        member.start(now());
        enterWake();
    }

    void arrive(P packet, Origin from) {
        if (dead) {
            return;
        }
        if (!stopped) {
            member.received(now(), packet, from);
            enterWake();
        } else if (buffer.size() < BUFFER) {
            buffer.add(new Waiting<>(packet, from));
        }
    }

    /** As by SIGKILL; a later process may take name and address. */
    public void kill() {
        dead = true;
        buffer.clear();
    }

    /** It leaves, and ends after so many microseconds. */
    public void leave(long after) {
        member.leave(now());
        enterWake();
        fleet.in(after, this::kill);
    }

    /** As by SIGSTOP: the socket goes on filling. */
    public void stop() {
        stopped = true;
    }

    /** As by SIGCONT. Whether the timer or what the socket holds comes first is drawn. */
    public void proceed() {
        stopped = false;
        if (dead) {
            return;
        }
        boolean timerFirst = random.nextBoolean();
        if (timerFirst) {
            wakeIfDue();
        }
        while (!buffer.isEmpty()) {
            Waiting<P> waiting = buffer.removeFirst();
            member.received(now(), waiting.packet, waiting.from);
        }
        wakeIfDue();
        enterWake();
    }

    private void wakeIfDue() {
        if (member.nextWake() <= now()) {
            member.wake(now());
        }
    }

    private void enterWake() {
        long next = member.nextWake();
        if (next < wakeEntered) {
            wakeEntered = next;
            fleet.in(next - now(), () -> woken(next));
        }
    }

    private void woken(long entered) {
        if (entered != wakeEntered) {
            return;
        }
        wakeEntered = Long.MAX_VALUE;
        if (runs()) {
            wakeIfDue();
            enterWake();
        }
    }
}
