package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import org.HdrHistogram.Histogram;

/**
 * Counts of one run. Worth belongs to a request's first try and to the second in which that was
 * due.
 */
final class Tally {
    /** Breaches whose text is kept; the rest are counted. */
    private static final int KEPT = 20;

    long firstTries;
    long clientTries;
    long served;
    long refused;
    long failed;
    long unreachable;
    long attempts;
    long crossings;
    long handshakes;
    long extraAnswers;
    long lateByStall;
    long doubleEffects;
    long droppedRepeats;
    double offered;

    /** Work of the attempts whose answer a client got. */
    double useful;

    final Map<String, Long> breaches = new TreeMap<>();
    final List<String> breachTexts = new ArrayList<>();

    private final long begin;
    private final List<double[]> seconds = new ArrayList<>();
    private final double[][] classes;
    private final double[][] tenants;
    private final Histogram[] latency;
    private double lateFailed;

    /** {@code begin}: from when on requests count. */
    Tally(long begin, List<TrafficClass> trafficClasses, int tenantCount) {
        this.begin = begin;
        classes = new double[trafficClasses.size()][2];
        tenants = new double[tenantCount][2];
        latency = new Histogram[trafficClasses.size()];
        for (int i = 0; i < latency.length; i++) {
            latency[i] =
                    new Histogram(
                            1,
                            Math.max(2, 2 * trafficClasses.get(i).told.clientTimeoutMicros()),
                            3);
        }
    }

    void broken(String rule, String what) {
        breaches.merge(rule, 1L, Long::sum);
        if (breachTexts.size() < KEPT) {
            breachTexts.add("rule " + rule + ": " + what);
        }
    }

    /**
     * A request is over: served after {@code took} microseconds from its intended start, or not
     * (-1).
     */
    void over(Call call, long took) {
        if (call.start < begin) {
            return;
        }
        firstTries++;
        long aim = call.trafficClass.told.latencyObjectiveMicros();
        boolean inTime = took >= 0 && call.start + took <= call.giveUp;
        double got =
                !inTime
                        ? 0
                        : took <= aim
                                ? call.worth
                                : call.worth * call.trafficClass.told.lateResponseRatio();
        int second = (int) ((call.start - begin) / 1_000_000);
        while (seconds.size() <= second) {
            seconds.add(new double[2]);
        }
        add(seconds.get(second), call.worth, got);
        add(classes[call.classIndex], call.worth, got);
        if (call.withinShare && tenants.length > 0) {
            add(tenants[call.tenant], call.worth, got);
        }
        if (inTime) {
            latency[call.classIndex].recordValue(Math.max(1, took));
        } else {
            lateFailed += call.worth;
        }
    }

    private static void add(double[] pair, double asked, double got) {
        pair[0] += asked;
        pair[1] += got;
    }

    /** A server has done the work of a request; a second time it must not take effect. */
    void effect(Attempt a, long now) {
        Call call = a.of.call;
        if (call.trafficClass.told.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (call.effectAt < 0) {
            call.effectAt = a.job.arrivedAt;
            call.effectServer = a.server;
            return;
        }
        IdempotencyScope scope = call.trafficClass.told.idempotencyScope();
        boolean same =
                scope == IdempotencyScope.ALL
                        || scope == IdempotencyScope.ZONE
                                && a.server.machine.zone() == call.effectServer.machine.zone()
                        || scope == IdempotencyScope.CELL
                                && a.server.machine.cell() == call.effectServer.machine.cell();
        boolean dropped =
                call.trafficClass.told.idempotency() == Idempotency.KEYED
                        && same
                        && Math.abs(a.job.arrivedAt - call.effectAt)
                                <= call.trafficClass.told.idempotencyWindowMicros() + 2_000;
        if (dropped) {
            droppedRepeats++;
        } else {
            doubleEffects++;
        }
    }

    /** Share of the worth served, of all that was asked for. */
    double whole() {
        return ratio(sum(0, seconds.size()));
    }

    double worstWindow(int length) {
        double worst = 1;
        for (int i = 0; i + length <= seconds.size(); i++) {
            worst = Math.min(worst, ratio(sum(i, i + length)));
        }
        return seconds.size() < length ? whole() : worst;
    }

    /** Worth asked for and got from one second up to and without another. */
    double[] sum(int from, int to) {
        double[] sum = new double[2];
        for (int i = Math.max(0, from); i < Math.min(to, seconds.size()); i++) {
            add(sum, seconds.get(i)[0], seconds.get(i)[1]);
        }
        return sum;
    }

    static double ratio(double[] pair) {
        return pair[0] == 0 ? 1 : pair[1] / pair[0];
    }

    double worstClass() {
        return worst(classes);
    }

    double worstTenant() {
        return worst(tenants);
    }

    private static double worst(double[][] pairs) {
        double worst = 1;
        for (double[] pair : pairs) {
            worst = Math.min(worst, ratio(pair));
        }
        return worst;
    }

    double classShare(int index) {
        return ratio(classes[index]);
    }

    double lateFailShare() {
        double[] all = sum(0, seconds.size());
        return all[0] == 0 ? 0 : lateFailed / all[0];
    }

    Histogram latency(int index) {
        return latency[index];
    }

    int lastSecond() {
        return seconds.size();
    }
}
