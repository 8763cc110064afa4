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
 * Members that exchange datagrams in virtual time, on one heap of events. Every process, and the
 * network, has chance of its own from the fleet's seed.
 *
 * @param <P> what a datagram holds
 */
public final class VirtualFleet<P> {
    /**
     * The true wall clock at the beginning, microseconds: any instant will do that is no round one.
     */
    public static final long EPOCH = 1_790_000_000_123_457L;

    /** How much later a datagram that is held back comes, in delays. */
    private static final int HELD_BACK = 100;

    private final Timeline timeline = new Timeline(() -> {});
    private final Conditions conditions = new Conditions();
    private final Streams streams;
    private final RandomGenerator network;
    private final ToIntFunction<P> size;
    private final Map<String, VirtualProcess<P>> byAddress = new LinkedHashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private long trace;
    private long carried;

    /** {@code size} measures a packet in bytes. */
    public VirtualFleet(long seed, ToIntFunction<P> size) {
        this.streams = new Streams(seed);
        this.network = new SplittableRandom(streams.seedOf("network"));
        this.size = size;
    }

    /**
     * Starts a process. An earlier one at the address is killed if it still runs: nothing else
     * would free it.
     *
     * @param what makes what runs in it
     */
    public VirtualProcess<P> start(
            String name, String address, Function<VirtualProcess<P>, VirtualMember<P>> what) {
        VirtualProcess<P> before = byAddress.remove(address);
        if (before != null) {
            before.kill();
        }
        int number = starts.merge(address, 1, Integer::sum);
        RandomGenerator random =
                new SplittableRandom(streams.seedOf(name + '@' + address + '#' + number));
        Origin origin = new Origin(name, address, random.nextLong() >>> 1);
        VirtualProcess<P> process = new VirtualProcess<>(this, origin, random);
        byAddress.put(address, process);
        process.start(what.apply(process));
        return process;
    }

    /** What the network does, to be changed at any time. */
    public Conditions conditions() {
        return conditions;
    }

    /** The last process of each address, dead ones too, in the order of their starts. */
    public Collection<VirtualProcess<P>> processes() {
        return List.copyOf(byAddress.values());
    }

    /** Those that are neither dead nor stopped. */
    public List<VirtualProcess<P>> running() {
        List<VirtualProcess<P>> running = new ArrayList<>(byAddress.values());
        running.removeIf(p -> !p.runs());
        return running;
    }

    /** The last process at that address; null if there was none. */
    public VirtualProcess<P> at(String address) {
        return byAddress.get(address);
    }

    /** Microseconds since the beginning. */
    public long now() {
        return timeline.micros();
    }

    /** Lets something happen after so many microseconds. */
    public void in(long micros, Runnable what) {
        timeline.in(micros, what);
    }

    /** Plays on for so many microseconds. */
    public void run(long micros) {
        timeline.runUntil(now() + micros);
    }

    /** A hash of all that was carried and when: the same for the same seed and script. */
    public long trace() {
        return trace;
    }

    /** Datagrams that got to where they were sent, also where nobody listened. */
    public long carried() {
        return carried;
    }

    int bytes(P packet) {
        return size.applyAsInt(packet);
    }

    void carry(Origin from, String to, P packet) {
        if (!conditions.passes(from.address(), to) || network.nextDouble() < conditions.loss()) {
            return;
        }
        carryOnce(from, to, packet);
        if (network.nextDouble() < conditions.duplication()) {
            carryOnce(from, to, packet);
        }
    }

    private void carryOnce(Origin from, String to, P packet) {
        long delay = conditions.delay() + network.nextLong(conditions.jitter() + 1);
        if (network.nextDouble() < conditions.reordering()) {
            delay += HELD_BACK * conditions.delay();
        }
        timeline.in(delay, () -> arrive(from, to, packet));
    }

    private void arrive(Origin from, String to, P packet) {
        carried++;
        trace = (trace * 31 + now()) * 31 + from.address().hashCode() * 17L + to.hashCode();
        trace = trace * 31 + bytes(packet);
        VirtualProcess<P> process = byAddress.get(to);
        if (process != null) {
            process.arrive(packet, from);
        }
    }
}
