package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.LoadReport;
import org.apache.commons.rng.UniformRandomProvider;

/** A server's load as it reports it: measured over whole spans, shown late and with noise. */
final class Meter {
    private record Span(long shownAt, double utilisation, double served) {}

    private final long period;
    private final long delay;
    private final double noise;
    private final UniformRandomProvider random;
    private final Deque<Span> spans = new ArrayDeque<>();
    private long begin;
    private double busy;
    private long served;

    Meter(long period, long delay, double noise, UniformRandomProvider random, long now) {
        this.period = period;
        this.delay = delay;
        this.noise = noise;
        this.random = random;
        this.begin = now - Draws.upTo(random, period);
    }

    /** From {@code from} to {@code to} the machine was busy to that share. */
    void busy(long from, long to, double share) {
        long at = from;
        while (to >= begin + period) {
            busy += share * (begin + period - at);
            close();
            at = begin;
            if (to - at > 2 * period) {
                // Nothing changes over the spans between: one stands for all of them.
                long skipped = (to - at) / period - 1;
                begin += skipped * period;
                at = begin;
            }
        }
        busy += share * (to - at);
    }

    private void close() {
        double factor = Math.max(0, 1 + noise * (2 * random.nextDouble() - 1) * 1.7);
        spans.addLast(
                new Span(
                        begin + period + delay,
                        Math.min(1, busy / period * factor),
                        served * 1e6 / period));
        while (spans.size() > 2 + delay / period) {
            spans.removeFirst();
        }
        begin += period;
        busy = 0;
        served = 0;
    }

    void served() {
        served++;
    }

    /** The newest measurement that shows by now; null before the first. */
    LoadReport report(long now) {
        Span shown = null;
        for (Span s : spans) {
            if (s.shownAt <= now) {
                shown = s;
            }
        }
        return shown == null
                ? null
                : new LoadReport(
                        shown.utilisation,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN,
                        shown.served,
                        Double.NaN);
    }
}
