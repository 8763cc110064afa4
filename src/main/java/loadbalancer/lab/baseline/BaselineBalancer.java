package loadbalancer.lab.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A plain balancer around one balancing rule: sends each request at once, repeats it as its class
 * allows, sends nothing to a server that drains, and neither holds nor cancels anything.
 */
final class BaselineBalancer implements LoadBalancer {
    private final LoadBalancerActions out;
    private final Pick pick;
    private final UniformRandomProvider random;
    private final Map<String, Candidate> known = new LinkedHashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private List<Candidate> ready = List.of();
    private LoadBalancerSettings settings;
    private long askAgain;

    private static final class Open {
        final RequestDescriptor request;
        final RequestClass cls;
        final int maxAttempts;
        final long deadline;
        int attempts;

        /** The first attempt that may have run, and when it went out. */
        Candidate ran;

        long ranAt;
        Candidate at;
        long sentAt;

        Open(RequestDescriptor request, LoadBalancerSettings settings, long now) {
            this.request = request;
            this.cls = settings.requestClasses().get(request.classIndex());
            this.maxAttempts = settings.limits().maxAttempts();
            this.deadline = now + request.timeLeftMicros();
        }
    }

    BaselineBalancer(LoadBalancerSettings settings, long seed, LoadBalancerActions out, Pick pick) {
        this.settings = settings;
        this.out = out;
        this.pick = pick;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    @Override
    public void start(long now) {
        if (settings.isEndpointListOnRequest()) {
            out.watchEndpointList(true);
        }
    }

    @Override
    public void updateSettings(long now, LoadBalancerSettings next) {
        settings = next;
    }

    @Override
    public void setMaxPendingRequests(int most) {}

    @Override
    public void updateEndpoints(
            long now, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (kind == EndpointListUpdateType.UNAVAILABLE) {
            out.scheduleTimer("ask" + askAgain++, 1_000_000);
            return;
        }
        if (kind != EndpointListUpdateType.DELTA) {
            known.keySet().retainAll(entries.stream().map(EndpointDescriptor::id).toList());
        }
        for (EndpointDescriptor e : entries) {
            if (e.state() == EndpointState.READY) {
                known.computeIfAbsent(e.id(), id -> new Candidate(e)).entry = e;
            } else {
                known.remove(e.id());
            }
        }
        ready = new ArrayList<>(known.values());
    }

    @Override
    public void requestReceived(long now, RequestDescriptor request) {
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
        out.sendAttempt(o.request.id(), at.id(), 0);
    }

    /** A keyed request that may have run goes again to those only that would drop it. */
    private List<Candidate> allowed(long now, Open o) {
        if (o.ran == null
                || o.cls.idempotency() != Idempotency.KEYED
                || o.cls.idempotencyScope() == IdempotencyScope.ALL) {
            return ready;
        }
        List<Candidate> same =
                ready.stream()
                        .filter(
                                c ->
                                        o.cls.idempotencyScope() == IdempotencyScope.ZONE
                                                ? c.entry.zoneIndex() == o.ran.entry.zoneIndex()
                                                : c.entry.cellIndex() == o.ran.entry.cellIndex())
                        .toList();
        return same.isEmpty() ? List.of(o.ran) : same;
    }

    @Override
    public void attemptEnded(long now, AttemptResult end) {
        Open o = open.get(end.requestId());
        if (o == null) {
            return;
        }
        o.at.inFlight--;
        if (end.outcome() == AttemptOutcome.SUCCESS) {
            pick.served(now, o.at, end.durationMicros());
        }
        if (end.isRequestConcluded()) {
            open.remove(end.requestId());
            return;
        }
        if (!end.outcome().provesNoExecution() && o.ran == null) {
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
        if (o.ran == null || o.cls.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return o.cls.idempotency() == Idempotency.KEYED
                && now - o.ranAt <= o.cls.idempotencyWindowMicros()
                && (o.cls.idempotencyScope() == IdempotencyScope.ALL
                        || known.containsKey(o.ran.id()));
    }

    private void end(Open o) {
        open.remove(o.request.id());
        boolean harmless =
                o.ran == null
                        || o.cls.idempotency() == Idempotency.IDEMPOTENT
                        || o.cls.idempotency() == Idempotency.KEYED
                                && o.cls.idempotencyScope() == IdempotencyScope.ALL;
        if (harmless) {
            out.reject(o.request.id(), 0);
        } else {
            out.fail(o.request.id());
        }
    }

    @Override
    public void requestHeadReceived(long now, RequestDescriptor request) {
        requestReceived(now, request);
    }

    @Override
    public void requestBodyReceived(long now, String request) {}

    @Override
    public void responseStarted(long now, String request, int attempt) {
        clientDisconnected(now, request);
    }

    @Override
    public void clientDisconnected(long now, String request) {
        Open o = open.remove(request);
        if (o != null && o.at != null) {
            o.at.inFlight--;
        }
    }

    @Override
    public void probeCompleted(
            long now, String upstream, AttemptOutcome outcome, LoadReport load) {}

    @Override
    public void timerExpired(long now, String token) {
        out.watchEndpointList(true);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}

    @Override
    public int unavailableEndpointCount(long now) {
        return 0;
    }
}
