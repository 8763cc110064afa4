package loadbalancer.lab.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import loadbalancer.lab.scenario.Drawn;
import loadbalancer.lab.scenario.Section;
import org.HdrHistogram.Histogram;

/** Puts a run's result together. */
final class Summary {
    /** Service is as before when it reaches this share of what it was, over two seconds. */
    private static final double AS_BEFORE = 0.95;

    private static final int BEFORE = 10;

    private final Drawn drawn;
    private final Tally tally;
    private final List<Server> servers;
    private final List<TrafficClass> trafficClasses;
    private final List<FaultSchedule.Struck> struck;
    private final Sampler sampler;
    private final EventQueue agenda;

    Summary(
            Drawn drawn,
            Tally tally,
            List<Server> servers,
            List<TrafficClass> trafficClasses,
            List<FaultSchedule.Struck> struck,
            Sampler sampler,
            EventQueue agenda) {
        this.drawn = drawn;
        this.tally = tally;
        this.servers = servers;
        this.trafficClasses = trafficClasses;
        this.struck = struck;
        this.sampler = sampler;
        this.agenda = agenda;
    }

    Result result() {
        long pushedOver = sum(s -> s.gauge.pushedOver);
        if (pushedOver > 0) {
            tally.breaches.merge("4", pushedOver, Long::sum);
            tally.breachTexts.add("rule 4: " + pushedOver + " cold servers were pushed over");
        }
        Section goal = drawn.section("goal");
        double whole = tally.whole();
        double window =
                tally.worstWindow((int) Math.max(1, drawn.section("run").number("window_s")));
        double parts =
                goal.number("whole")
                        + goal.number("worst_window")
                        + goal.number("worst_class")
                        + goal.number("worst_tenant");
        double g =
                (goal.number("whole") * whole
                                        + goal.number("worst_window") * window
                                        + goal.number("worst_class") * tally.worstClass()
                                        + goal.number("worst_tenant") * tally.worstTenant())
                                / Math.max(1e-9, parts)
                        - prices();
        double first = Math.max(1, tally.firstTries);
        return new Result(
                round(g),
                round(whole),
                round(window),
                round(tally.worstClass()),
                round(tally.worstTenant()),
                round(waste()),
                round(tally.attempts / first),
                tally.firstTries,
                tally.clientTries,
                tally.served,
                tally.refused,
                tally.failed,
                tally.unreachable,
                tally.attempts,
                tally.extraAnswers,
                tally.crossings,
                tally.handshakes,
                sum(s -> s.gauge.turnedAway),
                sum(s -> s.gauge.choked),
                sum(s -> s.gauge.fellOver),
                tally.doubleEffects,
                tally.droppedRepeats,
                tally.lateByStall,
                round(sampler.busyShare()),
                round(mean(s -> s.gauge.meanStay())),
                worst(s -> s.gauge.littleError()),
                worst(s -> s.gauge.workError()),
                agenda.handled(),
                tally.breaches,
                tally.breachTexts,
                latencies(),
                sampler.loads(),
                seconds(),
                recovery());
    }

    private double prices() {
        Section p = drawn.section("prices");
        double first = Math.max(1, tally.firstTries);
        return p.number("waste") * waste()
                + p.number("cross_zone") * tally.crossings / first
                + p.number("handshake") * tally.handshakes / first
                + p.number("late_fail") * tally.lateFailShare();
    }

    /** Server work that no client's answer came of, as a share of what all attempts asked for. */
    private double waste() {
        double done = servers.stream().mapToDouble(s -> s.gauge.done).sum();
        return done <= 0 ? 0 : Math.max(0, 1 - tally.useful / done);
    }

    private long sum(ToLongFunction<Server> what) {
        return servers.stream().mapToLong(what).sum();
    }

    private double mean(ToDoubleFunction<Server> what) {
        return servers.stream().mapToDouble(what).average().orElse(0);
    }

    /**
     * The largest error of any server; NaN, which is no number in JSON, where one was never empty.
     */
    private double worst(ToDoubleFunction<Server> what) {
        double worst = servers.stream().mapToDouble(what).max().orElse(0);
        return Double.isNaN(worst) ? -1 : worst;
    }

    private List<double[]> seconds() {
        return java.util.stream.IntStream.range(0, tally.lastSecond())
                .mapToObj(i -> tally.sum(i, i + 1))
                .map(pair -> new double[] {round(pair[0]), round(pair[1])})
                .toList();
    }

    private Map<String, Result.Latency> latencies() {
        Map<String, Result.Latency> all = new LinkedHashMap<>();
        for (int i = 0; i < trafficClasses.size(); i++) {
            Histogram h = tally.latency(i);
            all.put(
                    trafficClasses.get(i).name,
                    new Result.Latency(
                            round(tally.classShare(i)),
                            h.getTotalCount(),
                            h.getTotalCount() == 0 ? 0 : round(h.getMean() / 1e3),
                            milli(h, 50),
                            milli(h, 90),
                            milli(h, 99),
                            milli(h, 99.9)));
        }
        return all;
    }

    private static double milli(Histogram h, double percentile) {
        return h.getTotalCount() == 0 ? 0 : h.getValueAtPercentile(percentile) / 1e3;
    }

    private Map<String, Result.Trouble> recovery() {
        Map<String, Result.Trouble> all = new LinkedHashMap<>();
        double warmup = drawn.section("run").number("warmup_s");
        for (FaultSchedule.Struck t : struck) {
            double from = (t.from() - Simulation.START) / 1e6;
            double to = (t.to() - Simulation.START) / 1e6;
            all.put(
                    t.name(),
                    new Result.Trouble(
                            t.kind(),
                            round(from),
                            round(to),
                            recovery(from - warmup, to - warmup)));
        }
        return all;
    }

    private double recovery(double from, double to) {
        int begin = (int) Math.floor(from);
        double before = begin < 1 ? 1 : Tally.ratio(tally.sum(begin - BEFORE, begin));
        for (int s = (int) Math.ceil(to); s + 2 <= tally.lastSecond(); s++) {
            if (s >= 0 && Tally.ratio(tally.sum(s, s + 2)) >= AS_BEFORE * before) {
                return round(s - to);
            }
        }
        return -1;
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }
}
