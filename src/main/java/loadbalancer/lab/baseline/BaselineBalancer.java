package loadbalancer.lab.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.LoadBalancer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A plain balancer around one balancing rule: sends each request at once, repeats it as its class
 * allows, sends nothing to a server that drains, and neither holds nor cancels anything.
 */
final class BaselineBalancer implements LoadBalancer {
    private final Actions out;
    private final Pick pick;
    private final UniformRandomProvider random;
    private final Map<String, Candidate> known = new LinkedHashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private List<Candidate> ready = List.of();
    private Settings settings;
    private long askAgain;

    private static final class Open {
        final Request request;
        final RequestClass cls;
        final int maxAttempts;
        final long deadline;
        int attempts;

        /** The first attempt that may have run, and when it went out. */
        Candidate ran;

        long ranAt;
        Candidate at;
        long sentAt;

        Open(Request request, Settings settings, long now) {
            this.request = request;
            this.cls = settings.classes().get(request.classIndex());
            this.maxAttempts = settings.limits().maxAttempts();
            this.deadline = now + request.timeLeft();
        }
    }

    BaselineBalancer(Settings settings, long seed, Actions out, Pick pick) {
        this.settings = settings;
        this.out = out;
        this.pick = pick;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    @Override
    public void start(long now) {
        if (settings.askForList()) {
            out.watch(true);
        }
    }

    @Override
    public void settings(long now, Settings next) {
        settings = next;
    }

    @Override
    public void mayHold(int most) {}

    @Override
    public void upstreams(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            out.timer("ask" + askAgain++, 1_000_000);
            return;
        }
        if (kind != ListKind.CHANGES) {
            known.keySet().retainAll(entries.stream().map(Upstream::id).toList());
        }
        for (Upstream e : entries) {
            if (e.state() == State.READY) {
                known.computeIfAbsent(e.id(), id -> new Candidate(e)).entry = e;
            } else {
                known.remove(e.id());
            }
        }
        ready = new ArrayList<>(known.values());
    }

    @Override
    public void request(long now, Request request) {
        Open o = new Open(request, settings, now);
        open.put(request.id(), o);
        send(now, o);
    }

    private void send(long now, Open o) {
        Candidate at = ready.isEmpty() ? null : pick.pick(now, o.request, allowed(now, o), random);
        if (at == null) {
            end(o);
            return;
        }
        o.attempts++;
        o.at = at;
        o.sentAt = now;
        at.inFlight++;
        out.send(o.request.id(), at.id(), 0);
    }

    /** A keyed request that may have run goes again to those only that would drop it. */
    private List<Candidate> allowed(long now, Open o) {
        if (o.ran == null || o.cls.effect() != Effect.KEYED || o.cls.scope() == Scope.ALL) {
            return ready;
        }
        List<Candidate> same =
                ready.stream()
                        .filter(
                                c ->
                                        o.cls.scope() == Scope.ZONE
                                                ? c.entry.zone() == o.ran.entry.zone()
                                                : c.entry.cell() == o.ran.entry.cell())
                        .toList();
        return same.isEmpty() ? List.of(o.ran) : same;
    }

    @Override
    public void outcome(long now, AttemptEnd end) {
        Open o = open.get(end.request());
        if (o == null) {
            return;
        }
        o.at.inFlight--;
        if (end.outcome() == Outcome.OK) {
            pick.served(now, o.at, end.took());
        }
        if (end.concluded()) {
            open.remove(end.request());
            return;
        }
        if (!end.outcome().neverRan && o.ran == null) {
            o.ran = o.at;
            o.ranAt = o.sentAt;
        }
        if (now < o.deadline && o.attempts < o.maxAttempts && mayRepeat(now, o)) {
            send(now, o);
        } else {
            end(o);
        }
    }

    private boolean mayRepeat(long now, Open o) {
        if (o.ran == null || o.cls.effect() == Effect.SAFE) {
            return true;
        }
        return o.cls.effect() == Effect.KEYED
                && now - o.ranAt <= o.cls.memorySpan()
                && (o.cls.scope() == Scope.ALL || known.containsKey(o.ran.id()));
    }

    private void end(Open o) {
        open.remove(o.request.id());
        boolean harmless =
                o.ran == null
                        || o.cls.effect() == Effect.SAFE
                        || o.cls.effect() == Effect.KEYED && o.cls.scope() == Scope.ALL;
        if (harmless) {
            out.refuse(o.request.id(), 0);
        } else {
            out.fail(o.request.id());
        }
    }

    @Override
    public void arriving(long now, Request request) {
        request(now, request);
    }

    @Override
    public void received(long now, String request) {}

    @Override
    public void opened(long now, String request, int attempt) {
        clientGone(now, request);
    }

    @Override
    public void clientGone(long now, String request) {
        Open o = open.remove(request);
        if (o != null && o.at != null) {
            o.at.inFlight--;
        }
    }

    @Override
    public void probed(long now, String upstream, Outcome outcome, LoadReport load) {}

    @Override
    public void timer(long now, String token) {
        out.watch(true);
    }

    @Override
    public void peerMessage(long now, int from, byte[] body) {}

    @Override
    public int skipped(long now) {
        return 0;
    }
}
