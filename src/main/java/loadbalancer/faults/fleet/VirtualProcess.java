package loadbalancer.faults.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;
import loadbalancer.faults.fleet.VirtualMember.Origin;

/**
 * A process in a {@link VirtualNetwork}, with the clocks, the socket buffer and the life cycle of a
 * {@link VirtualMember}. Its monotonic clock starts at a random value, and its wall clock may be
 * wrong. Times are microseconds; for the simulation's thread.
 *
 * @param <P> type of a datagram's content
 */
public final class VirtualProcess<P> {
    /** Capacity of a suspended process's socket buffer: 208 KiB in datagrams of 800 bytes. */
    private static final int MAX_BUFFERED = 266;

    /** Upper bound of the monotonic clock's initial value. */
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

    /** Returns the name, address and boot ID of this process. */
    public Origin origin() {
        return origin;
    }

    /** Returns this process's own random number generator. */
    public RandomGenerator random() {
        return random;
    }

    /** Returns the time of the monotonic clock, in microseconds. */
    public long nowMicros() {
        return clockStartMicros + network.nowMicros();
    }

    /** Returns the time of the wall clock, in microseconds since the epoch. */
    public long wallMicros() {
        return VirtualNetwork.WALL_START_MICROS + network.nowMicros() + wallOffsetMicros;
    }

    /** Sets how far the wall clock is ahead of the true time. */
    public void setWallOffsetMicros(long micros) {
        wallOffsetMicros = micros;
    }

    /** Sends a datagram, unless the process is dead. */
    public void send(String address, P packet) {
        if (!isDead) {
            sentCount++;
            sentBytes += network.bytes(packet);
            network.send(origin, address, packet);
        }
    }

    /** Returns how many datagrams this process has sent. */
    public long sentCount() {
        return sentCount;
    }

    /** Returns how many bytes this process has sent, as the network sizes packets. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns the logic that runs in this process. */
    public VirtualMember<P> member() {
        return member;
    }

    /** Returns whether this process is alive and not suspended. */
    public boolean isRunning() {
        return !isDead && !isSuspended;
    }

    /** Returns whether this process is alive, but suspended. */
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

    /** Ends the process as SIGKILL does; a later process may use its name and address. */
    public void kill() {
        isDead = true;
        socketBuffer.clear();
    }

    /** Calls {@link VirtualMember#leave}, and kills the process after the given time. */
    public void leave(long killAfterMicros) {
        member.leave(nowMicros());
        scheduleWake();
        network.schedule(killAfterMicros, this::kill);
    }

    /** Suspends the process as SIGSTOP does, while its socket still buffers datagrams. */
    public void suspend() {
        isSuspended = true;
    }

    /** Resumes the process as SIGCONT does; handles timers and socket in a random order. */
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
