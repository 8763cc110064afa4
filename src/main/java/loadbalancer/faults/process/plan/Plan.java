package loadbalancer.faults.process.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import loadbalancer.faults.process.plan.Step.Kind;
import loadbalancer.faults.process.plan.Step.Whom;
import loadbalancer.faults.process.topology.Deployment;
import loadbalancer.faults.process.topology.Topology;
import loadbalancer.lab.sim.Streams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A whole run.
 *
 * @param seed from which all chance of the run comes
 * @param perSecond requests a second over all balancers
 * @param lengthMs for how long clients ask, at least; they go on until the last fault is over
 */
public record Plan(
        long seed,
        int balancers,
        int upstreams,
        double perSecond,
        long lengthMs,
        Deployment deployment,
        List<Step> steps) {
    private static final long FIRST_MS = 500;
    private static final long LONG_QUIET_MS = 62_000;
    private static final long BETWEEN_MOMENTS_MS = 2_500;

    /** Troubles of one moment begin within that time. */
    private static final int OVERLAP_MS = 600;

    private static final int LONGEST_SOAK_MS = 2_000;
    private static final int MOST_SOAK_UPSTREAMS = 20;

    /** What people do to one balancer; longer than a request's time, shorter than patience. */
    private static final int LONGEST_MS = 4_000;

    /** Checks its figures and puts the steps in order. */
    public Plan {
        if (balancers < 1
                || balancers > Topology.MOST_BALANCERS
                || upstreams < 1
                || !(perSecond > 0)
                || lengthMs < 0) {
            throw new IllegalArgumentException("a plan needs balancers, upstreams and requests");
        }
        for (Step s : steps) {
            boolean upstream = s.kind().whom() == Whom.UPSTREAM;
            if (s.who() < 0
                    || s.who() >= (upstream ? upstreams : balancers)
                    || s.other() < 0
                    || s.other() >= upstreams) {
                throw new IllegalArgumentException("nobody has that number: " + s.line());
            }
        }
        steps = steps.stream().sorted(Comparator.comparingLong(Step::atMs)).toList();
    }

    /** One without faults, to which they are added. */
    public static Plan quiet(
            long seed, int balancers, int upstreams, double perSecond, long lengthMs) {
        return new Plan(
                seed, balancers, upstreams, perSecond, lengthMs, Deployment.USUAL, List.of());
    }

    /** With one fault more. */
    public Plan with(long atMs, Kind kind, int who, int other, long forMs, double size) {
        List<Step> more = new ArrayList<>(steps);
        more.add(new Step(atMs, kind, who, other, forMs, size));
        return new Plan(seed, balancers, upstreams, perSecond, lengthMs, deployment, more);
    }

    /** With one fault more that is about one balancer or upstream and lasts. */
    public Plan with(long atMs, Kind kind, int who, long forMs) {
        return with(atMs, kind, who, 0, forMs, 0.5);
    }

    /** Drawn for that many balancers. */
    public static Plan drawn(long seed, int balancers) {
        UniformRandomProvider random = new Streams(seed).of("plan");
        int upstreams = 3 + random.nextInt(6);
        long length = 8_000 + random.nextInt(8_000);
        int weights = 0;
        for (Kind k : Kind.values()) {
            weights += k.weight;
        }
        List<Step> steps = new ArrayList<>();
        int count = 2 + random.nextInt(balancers + 2);
        for (int i = 0; i < count; i++) {
            int at = random.nextInt(weights);
            int kind = 0;
            while (at >= Kind.values()[kind].weight) {
                at -= Kind.values()[kind++].weight;
            }
            Kind drawn = Kind.values()[kind];
            steps.add(
                    new Step(
                            FIRST_MS + random.nextInt((int) length),
                            drawn,
                            random.nextInt(drawn.whom == Whom.UPSTREAM ? upstreams : balancers),
                            random.nextInt(upstreams),
                            200 + random.nextInt(LONGEST_MS),
                            0.05 + 0.95 * random.nextDouble()));
        }
        return new Plan(
                seed, balancers, upstreams, 10.0 * balancers, length, Deployment.USUAL, steps);
    }

    /**
     * Drawn for a soak: a few moments at which two or three troubles begin almost at once, mostly
     * at one balancer. Every second seed has settings that are not the usual ones; every tenth
     * stays quiet for more than a minute first.
     */
    public static Plan soak(long seed, int balancers) {
        UniformRandomProvider random = new Streams(seed).of("soak");
        List<Kind> kinds = Arrays.stream(Kind.values()).filter(k -> !k.skewed).toList();
        int upstreams = 3 + random.nextInt(MOST_SOAK_UPSTREAMS - 2);
        int moments = 2 + random.nextInt(3);
        long first = seed % 10 == 0 ? LONG_QUIET_MS : FIRST_MS;
        List<Step> steps = new ArrayList<>();
        for (int moment = 0; moment < moments; moment++) {
            int balancer = random.nextInt(balancers);
            for (int i = 0; i < 2 + random.nextInt(2); i++) {
                Kind kind = kinds.get(random.nextInt(kinds.size()));
                boolean elsewhere = random.nextInt(4) == 0;
                int who =
                        kind.whom == Whom.UPSTREAM
                                ? random.nextInt(upstreams)
                                : elsewhere ? random.nextInt(balancers) : balancer;
                long at = first + moment * BETWEEN_MOMENTS_MS + random.nextInt(OVERLAP_MS);
                steps.add(
                        new Step(
                                at,
                                kind,
                                who,
                                random.nextInt(upstreams),
                                200 + random.nextInt(LONGEST_SOAK_MS),
                                0.05 + 0.95 * random.nextDouble()));
            }
        }
        addStops(steps, seed, first, random.nextInt(balancers), random.nextDouble());
        return new Plan(
                seed,
                balancers,
                upstreams,
                10.0 * balancers,
                first + moments * BETWEEN_MOMENTS_MS,
                seed % 2 == 0 ? Deployment.USUAL : Deployment.SHORT,
                steps);
    }

    /**
     * Adds the end of a process by signals in series, with a successor or without one; in every
     * third seed among a crowd.
     */
    private static void addStops(List<Step> steps, long seed, long at, int balancer, double size) {
        Kind kind = seed % 4 < 2 ? Kind.HAND_OVER_SIGNALS : Kind.RESTART_SIGNALS;
        if (seed % 3 == 0) {
            steps.add(new Step(at, Kind.CROWD, balancer, 0, BETWEEN_MOMENTS_MS, 1));
        }
        steps.add(new Step(at + OVERLAP_MS, kind, balancer, 0, 0, size));
    }

    /** Whether a balancer's process must be one that can be put out of order. */
    public boolean skewed(int balancer) {
        return steps.stream().anyMatch(s -> s.kind().skewed() && s.who() == balancer);
    }

    /** As text: the figures in the first line, then a line for each fault. */
    public String text() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "seed=%d balancers=%d upstreams=%d rate=%.3f length=%d"
                                        + " deployment=%s%n",
                                seed,
                                balancers,
                                upstreams,
                                perSecond,
                                lengthMs,
                                deployment.name()));
        steps.forEach(s -> text.append(s.line()).append('\n'));
        return text.toString();
    }

    /** From such a text. */
    public static Plan of(String text) throws BadPlan {
        List<String> lines = text.lines().filter(l -> !l.isBlank()).toList();
        List<Step> steps = new ArrayList<>();
        for (int i = 1; i < lines.size(); i++) {
            steps.add(Step.of(lines.get(i)));
        }
        try {
            String[] words = lines.get(0).split("\\s+");
            return new Plan(
                    Long.parseLong(Step.value(words[0], "seed=")),
                    Integer.parseInt(Step.value(words[1], "balancers=")),
                    Integer.parseInt(Step.value(words[2], "upstreams=")),
                    Double.parseDouble(Step.value(words[3], "rate=")),
                    Long.parseLong(Step.value(words[4], "length=")),
                    words.length < 6
                            ? Deployment.USUAL
                            : Deployment.of(Step.value(words[5], "deployment=")),
                    steps);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new BadPlan("not a plan: " + e.getMessage());
        }
    }
}
