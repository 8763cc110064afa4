package loadbalancer.faults;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges from outside, by what clients, upstreams and discovery saw. It shares no code with the
 * balancer. Times are microseconds.
 */
final class Oracle {
    /** What the sockets may add to every limit. */
    private static final long SLACK = 50_000;

    private static final long ANSWER_SLACK = 20_000;

    /** What discovery has to tell counts as told this much later at the latest. */
    static final long LATEST_WORD = 6_000_000;

    /** An answer that has begun may pause for 10 s before it is broken off. */
    private static final long LONGEST_PAUSE = 11_000_000;

    /**
     * Of a process short of processor time an answer may be late by so much, and is lost beyond.
     */
    private static final long LATEST_ANSWER = 500_000;

    /**
     * After a client has gone no attempt begins more than so much later, whatever the loop does.
     */
    private static final long GONE = 100_000;

    /** A class of requests as the checker knows it. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** What clients and upstreams saw of one request. */
    static final class Seen {
        final String id;
        final Effect effect;
        final int maxAttempts;
        boolean over;
        int answers;

        /** The first bytes of its answer have come; of a large one these are what is timed. */
        boolean begun;

        boolean excused;

        /** When its client left and when the module gave it up; -1 for not. */
        long leftAt = -1;

        long gaveUpAt = -1;

        /** Its client takes its answer as it comes. */
        boolean prompt = true;

        final List<Run> runs = new ArrayList<>();

        /** What its upstreams made for it whole. */
        final List<String> made = new ArrayList<>();

        /** The connection that it came on; null for none that is known. */
        End connection;

        Seen(String id, Effect effect, int maxAttempts) {
            this.id = id;
            this.effect = effect;
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

    /** How often each status came. */
    final Map<Integer, Long> answers = new TreeMap<>();

    final List<String> breaches = new ArrayList<>();
    private final Timeline timeline;
    private final Map<String, Seen> requests = new LinkedHashMap<>();
    private final Map<String, Long> closedAt = new LinkedHashMap<>();

    /** Until when the process is, or was, short of processor time. */
    private long behindUntil = -1;

    /** Until when connections wait, or waited, for a descriptor before they are accepted. */
    private long scarceUntil = -1;

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

    // ---- Clients
    // -------------------------------------------------------------------------------------

    /**
     * The last byte of a request was handed to a connection; its time runs once that is accepted.
     */
    Seen asked(String id, Effect effect, long timeLeft, int maxAttempts, End connection) {
        long asked = timeline.micros();
        Seen seen = new Seen(id, effect, maxAttempts);
        seen.connection = connection;
        requests.put(id, seen);
        long patience = timeLeft + ANSWER_SLACK + SLACK + 2 * delay;
        timeline.in(
                patience + 1,
                () -> {
                    long accepted = connection.other().ownedAt();
                    if (asked <= behindUntil
                            && (asked > scarceUntil || accepted >= 0 && accepted <= asked)) {
                        timeline.in(
                                LATEST_ANSWER,
                                () -> due(seen)); // the machine accepts, whatever its loop does
                    } else if (asked <= behindUntil && accepted >= 0) {
                        // It waited for a descriptor.
                        timeline.at(accepted + patience + LATEST_ANSWER, () -> due(seen));
                    } else if (accepted < 0) {
                        excused(seen); // never taken
                    } else if (accepted > asked) {
                        timeline.at(accepted + patience + 1, () -> due(seen));
                    } else {
                        due(seen);
                    }
                });
        return seen;
    }

    private void due(Seen seen) {
        if (seen.begun) {
            timeline.in(LONGEST_PAUSE, () -> due(seen, "its answer neither goes on nor ends: "));
        } else {
            due(seen, "no final answer for ");
        }
    }

    private void due(Seen seen, String what) {
        if (!seen.over && !seen.excused) {
            broken("1", what + seen.id);
            seen.over = true;
        }
    }

    /** The process is short of processor time from now on, or has what it needs again. */
    void behind(boolean now) {
        behindUntil = now ? Long.MAX_VALUE : timeline.micros() + LATEST_ANSWER;
    }

    /** Connections may wait for a descriptor from now on, or there are enough again. */
    void scarce(boolean now) {
        scarceUntil = now ? Long.MAX_VALUE : timeline.micros();
    }

    private boolean isBehind() {
        return timeline.micros() <= behindUntil;
    }

    /** The module has given a request up; from here the answer may take its way and no longer. */
    void gaveUp(String id) {
        Seen seen = requests.get(id);
        if (seen != null && seen.gaveUpAt < 0) {
            seen.gaveUpAt = timeline.micros();
        }
    }

    /** The client has closed its connection on an open request. */
    void left(Seen seen) {
        seen.leftAt = timeline.micros();
        excused(seen);
    }

    void answered(Seen seen, int status, String body) {
        seen.answers++;
        answers.merge(status, 1L, Long::sum);
        long after = timeline.micros() - seen.gaveUpAt;
        if (seen.gaveUpAt >= 0 && seen.prompt && after > delay + 100) {
            broken(
                    "1",
                    seen.id + " was answered " + after + " us after the module had given it up");
        }
        if (seen.answers > 1) {
            broken("1", "a second answer for " + seen.id);
        }
        if (status == 200 && !body.startsWith("answer to " + seen.id + " ")) {
            broken(
                    "1",
                    seen.id
                            + " was served what was not made for it: "
                            + body.substring(0, Math.min(60, body.length())));
        }
        if (status == 200 && !seen.made.contains(body)) {
            broken(
                    "1",
                    seen.id
                            + " was served "
                            + body.length()
                            + " bytes that no upstream made whole");
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

    // ---- Upstreams
    // -----------------------------------------------------------------------------------

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
            } else if (seen.effect == Effect.KEYED
                    && begunAt - delay - before.get(0).begunAt > window + SLACK) {
                broken(
                        "2",
                        seen.id
                                + " was repeated "
                                + (begunAt - before.get(0).begunAt) / 1_000
                                + " ms after its first attempt");
            }
        }
        // A loop that is behind hears of it late, and has the whole of what the operators allow.
        long known = isBehind() ? GONE : ANSWER_SLACK;
        if (seen.leftAt >= 0 && begunAt > seen.leftAt + 2 * delay + known) {
            broken(
                    "1",
                    upstream
                            + " got "
                            + seen.id
                            + " "
                            + (begunAt - seen.leftAt) / 1_000
                            + " ms after its client had left");
        }
        if (seen.connection != null && seen.connection.other().heardAfterItsEnd()) {
            broken(
                    "1",
                    upstream
                            + " got "
                            + seen.id
                            + ", which came after its connection's output was shut");
        }
        seen.runs.add(run);
        if (seen.runs.size() > seen.maxAttempts) {
            broken("2", seen.id + " got " + seen.runs.size() + " attempts");
        }
        return run;
    }

    /**
     * An upstream has made that answer and sent all of it; unless it says how it ended, nobody
     * knows.
     */
    void made(String id, String body) {
        Seen seen = requests.get(id);
        if (seen != null) {
            seen.made.add(body);
        }
    }

    // ---- Discovery
    // -----------------------------------------------------------------------------------

    /** Discovery has written that an upstream drains or is gone. */
    void toldClosed(String upstream) {
        closedAt.putIfAbsent(upstream, timeline.micros());
    }

    /**
     * The process that was told is gone; the next one counts as told 6 s after the word went out.
     */
    void forgotten() {
        closedAt.replaceAll((id, at) -> at + LATEST_WORD);
    }

    /** What was told is not known to a process that starts while discovery can't be reached. */
    void nothingTold() {
        closedAt.clear();
    }

    void toldReady(String upstream) {
        closedAt.remove(upstream);
    }

    /** The first byte of a request has come in at an upstream. */
    void begins(String upstream) {
        Long closed = closedAt.get(upstream);
        if (closed != null && timeline.micros() - delay - closed > grace + SLACK + delay) {
            broken(
                    "3",
                    upstream
                            + " got something new "
                            + (timeline.micros() - closed) / 1_000
                            + " ms after word that it drains or is gone");
        }
    }

    /**
     * Whether a figure of the balancer's is what clients saw; of the excused any may be in there.
     */
    void figure(String name, long counted, int status) {
        long saw = answers.getOrDefault(status, 0L);
        long unseen = requests.values().stream().filter(s -> s.answers == 0).count();
        if (counted < saw || counted > saw + unseen) {
            broken(
                    "figures",
                    name
                            + " is "
                            + counted
                            + ", clients saw "
                            + saw
                            + " and "
                            + unseen
                            + " got no answer");
        }
    }

    /**
     * Whether the attempts counted are those that reached upstreams; of lost bytes nobody can tell.
     */
    void tries(long counted, boolean lossless) {
        long saw = requests.values().stream().mapToLong(s -> s.runs.size()).sum();
        if (counted < saw || lossless && counted != saw) {
            broken("figures", "upstream_tries is " + counted + ", upstreams saw " + saw);
        }
    }

    int requests() {
        return requests.size();
    }

    long answered() {
        return requests.values().stream().filter(s -> s.answers > 0).count();
    }
}
