package yewyoke.faults.process.check;

import java.util.List;
import java.util.function.Consumer;

/** One thing that the balancers promise to those outside. */
public interface Rule {
    /** What clients and upstreams may be late by without blame, for what a loaded machine does to all. */
    long SLACK = 15_000_000;
    /** The same where a balancer decides and an upstream reads at once. */
    long SHORT_SLACK = 1_000_000;

    /** Complains of each breach in one line. */
    void judge(Evidence evidence, Consumer<String> broken);

    /** All of them. {@code window}: in which a keyed request may be repeated; {@code grace}: for drains. */
    static List<Rule> all(long window, long grace) {
        return List.of(new AnswerRule(), new BodyRule(), new RepeatRule(window), new DrainRule(grace),
                new ListRule(), new ReturnRule());
    }
}
