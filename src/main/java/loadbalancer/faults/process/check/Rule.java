package loadbalancer.faults.process.check;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** One thing that the balancers promise to those outside. */
public interface Rule {
    /**
     * What clients and upstreams may be late by without blame, for what a loaded machine does to
     * all.
     */
    long SLACK = 15_000_000;

    /** The same where a balancer decides and an upstream reads at once. */
    long SHORT_SLACK = 1_000_000;

    /**
     * The same where the rig itself has been on time to a tenth of a second, or its run is void.
     */
    long TIGHT_SLACK = 250_000;

    /** Complains of each breach in one line. */
    void judge(Evidence evidence, Consumer<String> broken);

    /**
     * All of them.
     *
     * @param window in which a keyed request may be repeated
     * @param grace for drains
     * @param group of an upstream: others of its group discard what it has run
     */
    static List<Rule> all(long window, long grace, UnaryOperator<String> group) {
        return List.of(
                new AnswerRule(),
                new BodyRule(),
                new RepeatRule(window, group),
                new DrainRule(grace),
                new ListRule(),
                new ReturnRule(),
                new HalfRequestRule());
    }

    /** Those that only a rig which has been on time itself can judge. */
    static List<Rule> tight() {
        return List.of(new ClientGoneRule(), new ToldTimeRule(), new LateRule());
    }
}
