package yewyoke.faults;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges from outside, by what clients, upstreams and discovery saw. It shares no code with the balancer.
 * Times are microseconds.
 */
final class Oracle {
    /** What the sockets may add to every limit. */
    private static final long SLACK = 50_000;
    private static final long ANSWER_SLACK = 20_000;
    /** What discovery has to tell counts as told this much later at the latest. */
    static final long LATEST_WORD = 6_000_000;
    /** An answer that has begun may pause for 10 s before it is broken off. */
    private static final long LONGEST_PAUSE = 11_000_000;

    /** A class of requests as the checker knows it. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** What clients and upstreams saw of one request. */
    static final class Seen {
        final String id;
        final Effect effect;
        final long deadline;
        final int maxAttempts;
        boolean over;
        int answers;
        /** The first bytes of its answer have come; of a large one these are what is timed. */
        boolean begun;
        boolean excused;
        final List<Run> runs = new ArrayList<>();

        Seen(String id, Effect effect, long deadline, int maxAttempts) {
            this.id = id;
            this.effect = effect;
            this.deadline = deadline;
            this.maxAttempts = maxAttempts;
        }
    }

    /** One attempt that reached an upstream whole. */
    static final class Run {
        final long begunAt;
        /** It was turned away unseen, and word of that can't have been lost. */
        boolean never;

        Run(long begunAt) {
            this.begunAt = begunAt;
        }
    }

    final List<String> breaches = new ArrayList<>();
    private final Timeline timeline;
    private final Map<String, Seen> requests = new LinkedHashMap<>();
    private final Map<String, Long> closedAt = new LinkedHashMap<>();
    private final long window;
    private final long grace;
    private final long delay;

    /** {@code delay}: the most that the network takes one way. */
    Oracle(Timeline timeline, long window, long grace, long delay) {
        this.timeline = timeline;
        this.window = window;
        this.grace = grace;
        this.delay = delay;
    }

    void broken(String rule, String what) {
        breaches.add("rule " + rule + " at " + timeline.micros() / 1_000 + " ms: " + what);
    }

    // ---- Clients -------------------------------------------------------------------------------------

    /** The last byte of a request was handed to a connection that the balancer's machine accepted. */
    Seen asked(String id, Effect effect, long timeLeft, int maxAttempts) {
        long deadline = timeline.micros() + timeLeft;
        Seen seen = new Seen(id, effect, deadline, maxAttempts);
        requests.put(id, seen);
        long latest = deadline + ANSWER_SLACK + SLACK + 2 * delay;
        timeline.at(latest + 1, () -> {
            if (seen.begun) {
                timeline.in(LONGEST_PAUSE, () -> due(seen, "its answer neither goes on nor ends: "));
            } else {
                due(seen, "no final answer for ");
            }
        });
        return seen;
    }

    private void due(Seen seen, String what) {
        if (!seen.over && !seen.excused) {
            broken("1", what + seen.id);
            seen.over = true;
        }
    }

    void answered(Seen seen, int status, String body) {
        seen.answers++;
        if (seen.answers > 1) {
            broken("1", "a second answer for " + seen.id);
        }
        if (status == 200 && !body.startsWith("answer to " + seen.id + " ")) {
            broken("1", seen.id + " was served what was not made for it: "
                    + body.substring(0, Math.min(60, body.length())));
        }
        if (status == 200 && seen.runs.isEmpty()) {
            broken("1", seen.id + " was served and never reached an upstream");
        }
        boolean refused = status == 503 || status == 429;
        if (refused && seen.effect == Effect.UNSAFE && seen.runs.stream().anyMatch(r -> !r.never)) {
            broken("2", seen.id + " was refused though it may have run");
        }
        if (status == 400 || status == 413 || status == 408) {
            broken("1", seen.id + " is a good request and was answered " + status);
        }
        seen.over = true;
    }

    /** The client has left, or its process or machine took the connection along. */
    void excused(Seen seen) {
        seen.excused = true;
        seen.over = true;
    }

    /** The balancer closed on a request with no answer. */
    void dropped(Seen seen) {
        if (!seen.over && !seen.excused) {
            broken("1", "closed on " + seen.id + " without an answer");
            seen.over = true;
        }
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    /** A whole request has come in at an upstream; its first byte came at {@code begunAt}. */
    Run ran(String id, String upstream, long begunAt) {
        Run run = new Run(begunAt);
        Seen seen = requests.get(id);
        if (seen == null) {
            broken("2", upstream + " got " + id + ", which no client sent");
            return run;
        }
        List<Run> before = seen.runs.stream().filter(r -> !r.never).toList();
        if (!before.isEmpty()) {
            if (seen.effect == Effect.UNSAFE) {
                broken("2", seen.id + " was sent again though it may have run");
            } else if (seen.effect == Effect.KEYED && begunAt - delay - before.get(0).begunAt
                    > window + SLACK) {
                broken("2", seen.id + " was repeated " + (begunAt - before.get(0).begunAt) / 1_000
                        + " ms after its first attempt");
            }
        }
        seen.runs.add(run);
        if (seen.runs.size() > seen.maxAttempts) {
            broken("2", seen.id + " got " + seen.runs.size() + " attempts");
        }
        return run;
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /** Discovery has written that an upstream drains or is gone. */
    void toldClosed(String upstream) {
        closedAt.putIfAbsent(upstream, timeline.micros());
    }

    /** The process that was told is gone; the next one counts as told 6 s after the word went out. */
    void forgotten() {
        closedAt.replaceAll((id, at) -> at + LATEST_WORD);
    }

    void toldReady(String upstream) {
        closedAt.remove(upstream);
    }

    /** The first byte of a request has come in at an upstream. */
    void begins(String upstream) {
        Long closed = closedAt.get(upstream);
        if (closed != null && timeline.micros() - delay - closed > grace + SLACK + delay) {
            broken("3", upstream + " got something new " + (timeline.micros() - closed) / 1_000
                    + " ms after word that it drains or is gone");
        }
    }

    int requests() {
        return requests.size();
    }

    long answered() {
        return requests.values().stream().filter(s -> s.answers > 0).count();
    }
}
