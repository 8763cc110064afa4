package loadbalancer.faults.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;
import loadbalancer.faults.fleet.VirtualMember.Origin;

/**
 * One process in a {@link VirtualNetwork}: the clock, the socket's buffer and the life cycle of a
 * {@link VirtualMember}. Its monotonic clock starts at a random value, and its wall clock may be
 * wrong. Times are microseconds; for the simulation's thread.
 *
 * @param <P> content of a datagram
 */
public final class VirtualProcess<P> {
    /** Datagrams in the socket's buffer of a suspended process: 208 KiB at 800 bytes each. */
    private static final int MAX_BUFFERED = 266;

    /** The monotonic clock starts below that value. */
    private static final long MAX_CLOCK_START_MICROS = 1_000_000_000_000L;

    private record Buffered<P>(P packet, Origin from) {}

    private final VirtualNetwork<P> network;
    private final Origin origin;
    private final RandomGenerator random;
    private final long clockStartMicros;
    private final Deque<Buffered<P>> socketBuffer = new ArrayDeque<>();
    private VirtualMember<P> member;
    private long wallOffsetMicros;
    private boolean isSuspended;
    private boolean isDead;
    private long scheduledWakeMicros = Long.MAX_VALUE;
    private long sentCount;
    private long sentBytes;

    VirtualProcess(VirtualNetwork<P> network, Origin origin, RandomGenerator random) {
        this.network = network;
        this.origin = origin;
        this.random = random;
        this.clockStartMicros = random.nextLong(MAX_CLOCK_START_MICROS);
    }

    /** Its name, address and boot ID. */
    public Origin origin() {
        return origin;
    }

    /** Its own random numbers. */
    public RandomGenerator random() {
        return random;
    }

    /** Its monotonic clock, in microseconds. */
    public long nowMicros() {
        return clockStartMicros + network.nowMicros();
    }

    /** Its wall clock, in microseconds since the epoch. */
    public long wallMicros() {
        return VirtualNetwork.WALL_START_MICROS + network.nowMicros() + wallOffsetMicros;
    }

    /** Sets how far its wall clock is ahead of the true one. */
    public void setWallOffsetMicros(long micros) {
        wallOffsetMicros = micros;
    }

    /** Sends a datagram. */
    public void send(String address, P packet) {
        if (!isDead) {
            sentCount++;
            sentBytes += network.bytes(packet);
            network.send(origin, address, packet);
        }
    }

    /** How many datagrams it has sent. */
    public long sentCount() {
        return sentCount;
    }

    /** How many bytes it has sent, by the network's measure. */
    public long sentBytes() {
        return sentBytes;
    }

    /** The logic that runs in it. */
    public VirtualMember<P> member() {
        return member;
    }

    /** Whether it is alive and not suspended. */
    public boolean isRunning() {
        return !isDead && !isSuspended;
    }

    /** Whether it is alive, but suspended. */
    public boolean isSuspended() {
        return !isDead && isSuspended;
    }

    void start(VirtualMember<P> logic) {
        member = logic;
        member.start(nowMicros());
        scheduleWake();
    }

    void receive(P packet, Origin from) {
        if (isDead) {
            return;
        }
        if (!isSuspended) {
            member.received(nowMicros(), packet, from);
            scheduleWake();
        } else if (socketBuffer.size() < MAX_BUFFERED) {
            socketBuffer.add(new Buffered<>(packet, from));
        }
    }

    /** Ends it as SIGKILL does; a later process may take over name and address. */
    public void kill() {
        isDead = true;
        socketBuffer.clear();
    }

    /** Lets it leave, and ends it after that time. */
    public void leave(long killAfterMicros) {
        member.leave(nowMicros());
        scheduleWake();
        network.schedule(killAfterMicros, this::kill);
    }

    /** Suspends it as SIGSTOP does: its socket goes on receiving. */
    public void suspend() {
        isSuspended = true;
    }

    /** Resumes it as SIGCONT does; whether timer or socket comes first is random. */
    public void resume() {
        isSuspended = false;
        if (isDead) {
            return;
        }
        boolean isTimerFirst = random.nextBoolean();
        if (isTimerFirst) {
            wakeIfDue();
        }
        while (!socketBuffer.isEmpty()) {
            Buffered<P> buffered = socketBuffer.removeFirst();
            member.received(nowMicros(), buffered.packet, buffered.from);
        }
        wakeIfDue();
        scheduleWake();
    }

    private void wakeIfDue() {
        if (member.nextWakeMicros() <= nowMicros()) {
            member.wake(nowMicros());
        }
    }

    private void scheduleWake() {
        long nextMicros = member.nextWakeMicros();
        if (nextMicros < scheduledWakeMicros) {
            scheduledWakeMicros = nextMicros;
            network.schedule(nextMicros - nowMicros(), () -> onWake(nextMicros));
        }
    }

    private void onWake(long scheduledMicros) {
        if (scheduledMicros != scheduledWakeMicros) {
            return;
        }
        scheduledWakeMicros = Long.MAX_VALUE;
        if (isRunning()) {
            wakeIfDue();
            scheduleWake();
        }
    }
}
