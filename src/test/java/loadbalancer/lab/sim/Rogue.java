package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancer;

/** A balancer that breaks one rule on purpose, so that the checker can be seen to notice. */
final class Rogue implements LoadBalancer {
    /** What it does wrong. */
    enum Crime {
        SILENCE,
        REPEATS,
        DRAINED,
        PUSHES_COLD,
        AFTER_END
    }

    private final Actions out;
    private final Crime crime;
    private final List<String> servers = new ArrayList<>();
    private int turn;

    Rogue(Actions out, Crime crime) {
        this.out = out;
        this.crime = crime;
    }

    @Override
    public void upstreams(long now, ListKind kind, List<Upstream> entries) {
        for (Upstream e : entries) {
            if (!servers.contains(e.id())) {
                servers.add(e.id());
            }
            if (e.state() != State.READY && crime != Crime.DRAINED) {
                servers.remove(e.id());
            }
        }
    }

    private void send(String request) {
        if (servers.isEmpty()) {
            out.refuse(request, 0);
        } else {
            out.send(request, servers.get(turn++ % servers.size()), 0);
        }
    }

    @Override
    public void request(long now, Request request) {
        if (crime != Crime.SILENCE || turn++ % 5 > 0) {
            send(request.id());
        }
    }

    @Override
    public void outcome(long now, AttemptEnd end) {
        if (end.concluded()) {
            if (crime == Crime.AFTER_END && end.attempt() == 0) {
                send(end.request());
            }
            return;
        }
        if (crime == Crime.REPEATS && end.outcome() == Outcome.ERROR) {
            out.timer(end.request(), 1_300_000);
        } else {
            out.fail(end.request());
        }
    }

    @Override
    public void timer(long now, String token) {
        send(token);
    }

    @Override
    public void start(long now) {}

    @Override
    public void settings(long now, Settings next) {}

    @Override
    public void mayHold(int most) {}

    @Override
    public void arriving(long now, Request request) {}

    @Override
    public void received(long now, String request) {}

    @Override
    public void opened(long now, String request, int attempt) {}

    @Override
    public void clientGone(long now, String request) {}

    @Override
    public void probed(long now, String upstream, Outcome outcome, LoadReport load) {}

    @Override
    public void peerMessage(long now, int from, byte[] body) {}

    @Override
    public int skipped(long now) {
        return 0;
    }
}
