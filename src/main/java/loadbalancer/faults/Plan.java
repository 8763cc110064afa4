package loadbalancer.faults;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import loadbalancer.lab.sim.Streams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A scenario: drawn from a seed, or read from a file that a shrunk failure was written to.
 *
 * @param upstreams how many, in two zones in turn
 * @param rate requests a second
 * @param lengthMs for how long clients ask
 * @param cuts chance of a piece of bytes to be cut in two
 */
record Plan(long seed, int upstreams, double rate, long lengthMs, double cuts, List<Fault> faults) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One scenario in so many has a process that is short of processor time, about as often as
     * others.
     */
    private static final int STARVED_IN = 8;

    /** So long clients ask where lists are in trouble: a drain told 6 s late shows there. */
    private static final long LISTS_LENGTH_MS = 14_000;

    private static final double LISTS_RATE = 20;

    /** The usual faults, and in every other scenario some of the rare moments. */
    static Plan drawn(long seed) {
        return usual(seed).withRareMoments(new Streams(seed).of("rare"));
    }

    /** A seed's scenario without rare moments, as it was before there were any. */
    static Plan usual(long seed) {
        UniformRandomProvider random = new Streams(seed).of("plan");
        int upstreams = 2 + random.nextInt(5);
        double rate = 10 + random.nextInt(40);
        long length = 4_000 + random.nextInt(5_000);
        double cuts = random.nextDouble() < 0.5 ? 0 : random.nextDouble();
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(5);
        int weights = 0;
        for (Fault.Kind k : Fault.Kind.values()) {
            weights += k.weight;
        }
        for (int i = 0; i < count; i++) {
            int at = random.nextInt(weights);
            int kind = 0;
            while (at >= Fault.Kind.values()[kind].weight) {
                at -= Fault.Kind.values()[kind++].weight;
            }
            faults.add(
                    new Fault(
                            Fault.Kind.values()[kind],
                            500 + random.nextInt((int) length),
                            100 + random.nextInt(3_000),
                            random.nextInt(upstreams),
                            0.1 + 0.9 * random.nextDouble()));
        }
        UniformRandomProvider starved = new Streams(seed).of("starved");
        if (starved.nextInt(STARVED_IN) == 0) {
            faults.add(
                    new Fault(
                            Fault.Kind.STARVED,
                            500 + starved.nextInt((int) length),
                            500 + starved.nextInt(4_000),
                            0,
                            0.1 + 0.9 * starved.nextDouble()));
        }
        faults.sort(Comparator.comparingLong(Fault::atMs));
        return new Plan(seed, upstreams, rate, length, cuts, faults);
    }

    private Plan withRareMoments(UniformRandomProvider random) {
        if (random.nextBoolean()) {
            return this;
        }
        List<Fault> more = new ArrayList<>(faults);
        int count = 1 + random.nextInt(3);
        boolean lists = false;
        for (int i = 0; i < count; i++) {
            Fault.Kind kind = rareMoment(random);
            Fault f =
                    new Fault(
                            kind,
                            500 + random.nextInt((int) lengthMs),
                            100 + random.nextInt(3_000),
                            random.nextInt(upstreams),
                            0.1 + 0.9 * random.nextDouble());
            more.add(f);
            if (kind.ofLists()) {
                lists = true;
                // What changes meanwhile, and stays long enough for all to show that they know.
                more.add(
                        new Fault(
                                Fault.Kind.DRAIN,
                                Math.max(0, f.atMs() - 200) + random.nextInt((int) f.lenMs() + 400),
                                3_000,
                                random.nextInt(upstreams),
                                1));
            }
        }
        more.sort(Comparator.comparingLong(Fault::atMs));
        return lists
                ? new Plan(seed, upstreams, Math.min(rate, LISTS_RATE), LISTS_LENGTH_MS, cuts, more)
                : new Plan(seed, upstreams, rate, lengthMs, cuts, more);
    }

    private static Fault.Kind rareMoment(UniformRandomProvider random) {
        int weights = 0;
        for (Fault.Kind k : Fault.Kind.values()) {
            weights += k.rare;
        }
        int at = random.nextInt(weights);
        int kind = 0;
        while (at >= Fault.Kind.values()[kind].rare) {
            at -= Fault.Kind.values()[kind++].rare;
        }
        return Fault.Kind.values()[kind];
    }

    boolean has(Fault.Kind kind) {
        return faults.stream().anyMatch(f -> f.kind() == kind);
    }

    Plan without(int index) {
        List<Fault> fewer = new ArrayList<>(faults);
        fewer.remove(index);
        return new Plan(seed, upstreams, rate, lengthMs, cuts, fewer);
    }

    @JsonIgnore
    String text() throws IOException {
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(this) + "\n";
    }

    static Plan read(Path file) throws IOException {
        return JSON.readValue(Files.readString(file), Plan.class);
    }
}
