package loadbalancer.faults.process.check;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import loadbalancer.faults.process.check.Ask.End;
import loadbalancer.faults.process.check.Disturbance.Kind;

/** Each request that was taken gets one final answer before its client's time is over. */
final class AnswerRule implements Rule {
    /**
     * So many requests a hand-over may end at the door: while a listener closes, the system resets
     * them.
     */
    private static final int FREE = 2;

    /** Their clients left, or never sent a whole request. */
    private static final Set<End> OWED_NOTHING =
            EnumSet.of(End.LEFT, End.HALF_ENDED, End.HALF_KEPT);

    /** No fault of a good request. */
    private static final Set<Integer> BLAMING = Set.of(400, 404, 408, 411, 413, 431);

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, List<Ran>> runs = evidence.runsById();
        Map<Integer, List<Ask>> atTheDoor = new TreeMap<>();
        for (Ask ask : evidence.asks()) {
            boolean ran = runs.containsKey(ask.id());
            if ((ask.end() == End.CLOSED || ask.end() == End.NOT_TAKEN)
                    && !ran
                    && evidence.isDisturbed(
                            Kind.HANDED_OVER, ask.balancer(), ask.sentAt(), ask.endedAt())) {
                atTheDoor.computeIfAbsent(ask.balancer(), b -> new ArrayList<>()).add(ask);
                continue;
            }
            String fault = fault(ask, evidence, ran);
            if (fault != null) {
                broken.accept("answer: " + ask.id() + " " + fault);
            }
        }
        atTheDoor.forEach(
                (balancer, asks) -> {
                    List<Ask> fresh = asks.stream().filter(a -> !a.kept()).toList();
                    long free =
                            FREE
                                    * evidence.disturbances().stream()
                                            .filter(i -> i.of(Kind.HANDED_OVER, balancer))
                                            .count();
                    if (fresh.size() > free) {
                        broken.accept(
                                "answer: "
                                        + fresh.size()
                                        + " requests ended at the door of balancer "
                                        + balancer
                                        + " during hand-overs: "
                                        + fresh.get(0).id()
                                        + " and others");
                    }
                });
    }

    private static String fault(Ask ask, Evidence evidence, boolean ran) {
        if (OWED_NOTHING.contains(ask.end())) {
            return null;
        }
        if (ask.end() == End.GARBLED) {
            return "got more than its answer: " + ask.body();
        }
        if (ask.end() == End.ANSWERED) {
            if (BLAMING.contains(ask.status())) {
                return "is a good request and was answered " + ask.status();
            }
            long late = ask.endedAt() - ask.sentAt() - ask.timeLeft() - paused(ask, evidence);
            return late > SLACK ? "was answered " + late / 1_000 + " ms after its time" : null;
        }
        if (evidence.isDisturbed(Kind.KILLED, ask.balancer(), ask.sentAt(), ask.endedAt())) {
            return null;
        }
        if (ask.end() == End.NOT_TAKEN) {
            return evidence.isDisturbed(Kind.STOPPED, ask.balancer(), ask.sentAt(), ask.endedAt())
                    ? null
                    : "was not let in though its balancer was there";
        }
        if (ask.end() == End.SILENT) {
            return "got no answer, "
                    + (ask.endedAt() - ask.sentAt()) / 1_000
                    + " ms after it was sent";
        }
        // Its closing crossed the request, which was not read: no upstream saw it.
        boolean crossed =
                ask.kept()
                        || evidence.isDisturbed(
                                Kind.STOPPED, ask.balancer(), ask.sentAt(), ask.endedAt());
        return crossed && !ran
                ? null
                : "lost its connection without an answer"
                        + (ran ? " though an upstream saw it" : "");
    }

    /** For how long of its time the process did not run. */
    private static long paused(Ask ask, Evidence evidence) {
        long sum = 0;
        for (Disturbance i : evidence.disturbances()) {
            if (i.of(Kind.PAUSED, ask.balancer()) && i.touches(ask.sentAt(), ask.endedAt())) {
                sum += i.to() - Math.max(i.from(), ask.sentAt());
            }
        }
        return sum;
    }
}
