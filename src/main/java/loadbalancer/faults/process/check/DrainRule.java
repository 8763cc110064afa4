package loadbalancer.faults.process.check;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.faults.process.check.Disturbance.Kind;

/**
 * Nothing new to an upstream once a time has passed since word that it drains or is gone. A process
 * that began since counts as told when discovery told it; one that was stopped, when it went on.
 */
final class DrainRule implements Rule {
    /**
     * What discovery has to tell counts as told so long after it could be heard again, at the
     * latest.
     */
    private static final long LATEST_WORD = 6_000_000;

    private final long grace;

    DrainRule(long grace) {
        this.grace = grace;
    }

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, Ask> asks = evidence.asksById();
        List<Told> told =
                evidence.told().stream().sorted(Comparator.comparingLong(Told::at)).toList();
        for (Ran run : evidence.runs()) {
            Ask ask = asks.get(run.id());
            if (ask == null) {
                continue; // another rule's matter
            }
            long since = closedSince(evidence, told, ask.balancer(), run);
            if (since >= 0
                    && run.at() > since + grace + SHORT_SLACK
                    && !evidence.hindered(ask.balancer(), run.upstream(), since, run.at())) {
                broken.accept(
                        "drain: "
                                + run.upstream()
                                + " got "
                                + run.id()
                                + " "
                                + (run.at() - since) / 1_000
                                + " ms after balancer "
                                + ask.balancer()
                                + " was told that it drains or is gone");
            }
        }
    }

    /**
     * Since when the balancer's latest process knows that the upstream takes nothing new; -1 if it
     * doesn't.
     */
    private static long closedSince(Evidence evidence, List<Told> told, int balancer, Ran run) {
        long began =
                evidence.disturbances().stream()
                        .filter(i -> i.of(Kind.BEGAN, balancer) && i.from() <= run.at())
                        .mapToLong(Disturbance::from)
                        .max()
                        .orElse(Long.MIN_VALUE);
        long since = -1;
        for (Told t : told) {
            if (t.balancer() == balancer
                    && t.upstream().equals(run.upstream())
                    && t.at() <= run.at()) {
                if (t.ready()) {
                    since = -1;
                } else if (t.at() >= began && since < 0) {
                    since = t.at();
                }
            }
        }
        if (since < 0) {
            return -1;
        }
        for (Disturbance i : evidence.disturbances()) {
            if (i.of(Kind.PAUSED, balancer) && i.touches(since, run.at())) {
                since = Math.max(since, i.to());
            } else if (i.of(Kind.DISCOVERY, balancer) && i.touches(since, since)) {
                since = Math.max(since, again(told, balancer, run.upstream(), i.to()));
            }
        }
        return since;
    }

    /** When word came to a balancer that had not heard discovery until then. */
    private static long again(List<Told> told, int balancer, String upstream, long from) {
        long word =
                told.stream()
                        .filter(
                                t ->
                                        t.balancer() == balancer
                                                && t.upstream().equals(upstream)
                                                && !t.ready()
                                                && t.at() >= from)
                        .mapToLong(Told::at)
                        .min()
                        .orElse(Long.MAX_VALUE);
        return Math.min(word, from + LATEST_WORD);
    }
}
