package loadbalancer.lab.sim;

import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestClass;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/** A class of requests: what the balancers are told of it, and what it costs the servers. */
final class TrafficClass {
    final String name;
    final double share;
    final double meanWork;
    final long io;
    final double attemptNoise;
    final RequestClass told;
    private final String dist;
    private final double cv;

    TrafficClass(Section s) {
        name = s.name();
        share = s.number("share");
        meanWork = s.number("work_ms") * 1e3;
        io = s.micros("io_ms");
        attemptNoise = s.number("attempt_noise");
        dist = s.text("dist");
        cv = s.number("cv");
        Idempotency effect = idempotency(s.text("effect"));
        IdempotencyScope scope =
                IdempotencyScope.valueOf(s.text("group").toUpperCase(java.util.Locale.ROOT));
        told =
                new RequestClass(
                        name,
                        s.micros("aim_ms"),
                        0,
                        s.micros("deadline_ms"),
                        s.number("worth"),
                        s.number("late_worth"),
                        effect,
                        scope,
                        effect == Idempotency.IDEMPOTENT
                                ? s.micros("deadline_ms")
                                : s.micros("window_ms"),
                        false);
    }

    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.KEYED;
            case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect " + effect);
        };
    }

    /** Work of one request, in microseconds of a core of speed 1. */
    double work(UniformRandomProvider random) {
        return meanWork
                * switch (dist) {
                    case "fixed" -> 1;
                    case "exponential" -> Draws.exponential(random, 1);
                    case "lognormal" -> {
                        double variance = Math.log1p(cv * cv);
                        yield Draws.factor(random, Math.sqrt(variance)) * Math.exp(-variance / 2);
                    }
                    default -> pareto(random);
                };
    }

    /**
     * Pareto of mean 1 and the stated cv: alpha (alpha - 2) = 1 / cv^2. Capped at 100 times the
     * mean.
     */
    private double pareto(UniformRandomProvider random) {
        double alpha = 1 + Math.sqrt(1 + 1 / Math.max(1e-6, cv * cv));
        double least = (alpha - 1) / alpha;
        return Math.min(100, least * Math.pow(1 - random.nextDouble(), -1 / alpha));
    }
}
