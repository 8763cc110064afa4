package yewyoke.decide;

import java.util.List;
import java.util.SplittableRandom;
import yewyoke.Balancer;
import yewyoke.decide.state.Host;
import yewyoke.decide.state.OpenRequest;
import yewyoke.decide.state.PolicyState;

/** Takes each event to the modules that it is for. */
public abstract class Decisions implements Balancer {
    private final PolicyState b;

    /** Creates an instance; bad settings are refused with the field's name. */
    protected Decisions(Settings settings, long seed, Actions out) {
        b = new PolicyState(new SplittableRandom(seed), out);
        Terms.take(b, settings);
        b.times.guess(Pick.firstPace(Terms.tightest(settings)));
    }

    // @formatter:off - a table: one event to a line where one call answers it
    @Override public void start(long now) {
        Sweep.start(b, now);
        Listing.subscribe(b);
    }

    @Override public void settings(long now, Settings next) {
        Terms.take(b, next);
        b.ups.settle(); // who else uses an upstream follows from the group
        Waiting.pump(b, now);
    }

    @Override public void mayHold(int most) { b.held.most(most); }

    @Override public void upstreams(long now, ListKind kind, List<Upstream> entries) {
        if (Listing.take(b, now, kind, entries)) {
            Waiting.pump(b, now);
        }
    }

    @Override public void request(long now, Request request) { Admission.take(b, now, request, false); }

    @Override public void arriving(long now, Request request) { Admission.take(b, now, request, true); }

    @Override public void received(long now, String request) { Admission.received(b, now, request); }

    @Override public void outcome(long now, AttemptEnd end) {
        Weights.learn(b.ups.get(end.upstream()), end.load(), now);
        Attempts.ended(b, now, end);
    }

    @Override public void opened(long now, String request, int attempt) {
        Attempts.opened(b, now, request, attempt);
    }

    @Override public void clientGone(long now, String request) {
        OpenRequest r = b.open.get(request);
        if (r != null && !r.ended) {
            Answers.conclude(b, r);
        }
    }

    @Override public void probed(long now, String upstream, Outcome outcome, LoadReport load) {
        Host up = b.ups.get(upstream);
        if (up != null && outcome == Outcome.OK) {
            Weights.learn(up, load, now);
            Probing.heard(b, up, load, now);
        }
        if (up != null && outcome == Outcome.CONNECT_FAILED) {
            Health.eject(up, now);
        }
        if (Probing.allHeard(b, now)) {
            Waiting.pump(b, now);
        }
    }

    @Override public void timer(long now, String token) {
        if (token.equals("due")) {
            Answers.timer(b, now);
        } else if (token.equals("ask")) {
            Waiting.pump(b, now);
        } else if (token.equals("sweep")) {
            Sweep.timer(b, now);
        }
    }

    @Override public void peerMessage(long now, int from, byte[] body) { PeerSync.heard(b, now, from, body); }

    @Override public int skipped(long now) { return b.ups.draining() + Health.shutOut(b.ups.all(), now); }

    @Override public void beside(long now, boolean another) { b.beside = another; }

    @Override public Memory memory(long now, int from, int most) { return b.memory(now, from, most); }

    @Override public void recall(long now, long age, long listAge, Memory memory) {
        Memories.recall(b, now, age, listAge, memory);
        Waiting.pump(b, now);
    }
}
