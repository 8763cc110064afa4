package loadbalancer.faults.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import loadbalancer.faults.Timeline;
import loadbalancer.faults.fleet.VirtualMember.Origin;
import loadbalancer.lab.sim.Streams;

/**
 * Runs processes that exchange datagrams in virtual time, on one event queue. The network and each
 * process have their own random number generators, derived from one seed. Times are microseconds;
 * for one thread.
 *
 * @param <P> type of a datagram's content
 */
public final class VirtualNetwork<P> {
    /** True wall-clock time at the start; not a round number, so that tests notice truncation. */
    public static final long WALL_START_MICROS = 1_790_000_000_123_457L;

    /** Additional delay of a reordered datagram, as a multiple of the usual delay. */
    private static final int REORDERING_DELAYS = 100;

    private static final int HASH_MULTIPLIER = 31;
    private static final long SENDER_HASH_MULTIPLIER = 17L;

    private final Timeline timeline = new Timeline(() -> {});
    private final NetworkConditions conditions = new NetworkConditions();
    private final Streams streams;
    private final RandomGenerator random;
    private final ToIntFunction<P> sizeBytes;
    private final Map<String, VirtualProcess<P>> byAddress = new LinkedHashMap<>();
    private final Map<String, Integer> startCounts = new HashMap<>();
    private long traceHash;
    private long deliveredCount;

    /** Creates a network without processes; {@code sizeBytes} returns the size of a packet. */
    public VirtualNetwork(long seed, ToIntFunction<P> sizeBytes) {
        this.streams = new Streams(seed);
        this.random = new SplittableRandom(streams.seedOf("network"));
        this.sizeBytes = sizeBytes;
    }

    /**
     * Starts a process. An earlier process at the address is killed if it still runs.
     *
     * @param logic creates the logic that runs in the process
     */
    public VirtualProcess<P> start(
            String name, String address, Function<VirtualProcess<P>, VirtualMember<P>> logic) {
        VirtualProcess<P> before = byAddress.remove(address);
        if (before != null) {
            before.kill();
        }
        int number = startCounts.merge(address, 1, Integer::sum);
        RandomGenerator processRandom =
                new SplittableRandom(streams.seedOf(name + '@' + address + '#' + number));
        Origin origin = new Origin(name, address, processRandom.nextLong() >>> 1);
        VirtualProcess<P> process = new VirtualProcess<>(this, origin, processRandom);
        byAddress.put(address, process);
        process.start(logic.apply(process));
        return process;
    }

    /** Returns the network conditions, which may be changed at any time. */
    public NetworkConditions conditions() {
        return conditions;
    }

    /** Returns the last process at each address, including dead ones, in the order of starts. */
    public Collection<VirtualProcess<P>> processes() {
        return List.copyOf(byAddress.values());
    }

    /** Returns the processes that are neither dead nor suspended. */
    public List<VirtualProcess<P>> running() {
        List<VirtualProcess<P>> running = new ArrayList<>(byAddress.values());
        running.removeIf(process -> !process.isRunning());
        return running;
    }

    /** Returns the last process at that address; null if there was none. */
    public VirtualProcess<P> processAt(String address) {
        return byAddress.get(address);
    }

    /** Returns the virtual time since the start, in microseconds. */
    public long nowMicros() {
        return timeline.micros();
    }

    /** Schedules an action after a delay. */
    public void schedule(long delayMicros, Runnable action) {
        timeline.in(delayMicros, action);
    }

    /** Runs the simulation for the given virtual time. */
    public void run(long micros) {
        timeline.runUntil(nowMicros() + micros);
    }

    /** Returns a hash of all deliveries and their times; equal for equal seeds and scripts. */
    public long traceHash() {
        return traceHash;
    }

    /** Returns how many datagrams reached their address, including addresses without a process. */
    public long deliveredCount() {
        return deliveredCount;
    }

    int bytes(P packet) {
        return sizeBytes.applyAsInt(packet);
    }

    /** Sends a datagram, which may be lost, duplicated or reordered. */
    void send(Origin from, String to, P packet) {
        if (!conditions.isConnected(from.address(), to)
                || random.nextDouble() < conditions.lossProbability()) {
            return;
        }
        transmit(from, to, packet);
        if (random.nextDouble() < conditions.duplicationProbability()) {
            transmit(from, to, packet);
        }
    }

    private void transmit(Origin from, String to, P packet) {
        long delayMicros =
                conditions.delayMicros() + random.nextLong(conditions.jitterMicros() + 1);
        if (random.nextDouble() < conditions.reorderingProbability()) {
            delayMicros += REORDERING_DELAYS * conditions.delayMicros();
        }
        timeline.in(delayMicros, () -> deliver(from, to, packet));
    }

    private void deliver(Origin from, String to, P packet) {
        deliveredCount++;
        addToTrace(nowMicros());
        addToTrace(from.address().hashCode() * SENDER_HASH_MULTIPLIER + to.hashCode());
        addToTrace(bytes(packet));
        VirtualProcess<P> process = byAddress.get(to);
        if (process != null) {
            process.receive(packet, from);
        }
    }

    private void addToTrace(long value) {
        traceHash = traceHash * HASH_MULTIPLIER + value;
    }
}
