package loadbalancer.faults.process.check;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Attempts run again only as the request's class allows, and only what a client sent runs at all.
 */
final class RepeatRule implements Rule {
    private final long window;
    private final UnaryOperator<String> group;

    RepeatRule(long window, UnaryOperator<String> group) {
        this.window = window;
        this.group = group;
    }

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, Ask> asks = evidence.asksById();
        evidence.runsById()
                .forEach(
                        (id, runs) -> {
                            Ask ask = asks.get(id);
                            if (ask == null) {
                                broken.accept(
                                        "repeat: "
                                                + runs.get(0).upstream()
                                                + " got "
                                                + id
                                                + ", which no client sent");
                                return;
                            }
                            List<Ran> ran =
                                    runs.stream()
                                            .filter(r -> !r.unseen())
                                            .sorted(Comparator.comparingLong(Ran::at))
                                            .toList();
                            if (ask.effect() == Effect.UNSAFE && ran.size() > 1) {
                                broken.accept(
                                        "repeat: "
                                                + id
                                                + " ran "
                                                + ran.size()
                                                + " times and may run once: "
                                                + ran);
                            }
                            if (ask.effect() == Effect.KEYED && !ran.isEmpty()) {
                                ran.forEach(r -> keyed(evidence, ask, ran.get(0), r, broken));
                            }
                        });
    }

    private void keyed(Evidence evidence, Ask ask, Ran first, Ran later, Consumer<String> broken) {
        if (!group.apply(first.upstream()).equals(group.apply(later.upstream()))) {
            broken.accept(
                    "repeat: "
                            + ask.id()
                            + " ran at "
                            + first.upstream()
                            + " and at "
                            + later.upstream()
                            + ", which does not know of it");
        }
        long after = later.at() - first.at();
        if (after > window + SHORT_SLACK
                && !evidence.hindered(ask.balancer(), later.upstream(), first.at(), later.at())) {
            broken.accept(
                    "repeat: "
                            + ask.id()
                            + " ran again "
                            + after / 1_000
                            + " ms after its first time");
        }
    }
}
