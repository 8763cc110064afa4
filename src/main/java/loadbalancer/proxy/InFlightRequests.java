package loadbalancer.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.proxy.ProcessMetrics.Ending;

/**
 * The requests in flight by id. The one place where a request is concluded, counted and forgotten.
 * Used on the event loop only.
 */
final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final ProcessMetrics metrics;
    private final SendAudit audit;

    InFlightRequests(ProcessMetrics metrics, SendAudit audit) {
        this.metrics = metrics;
        this.audit = audit;
    }

    /** The request of that id, null if there is none. */
    InFlightRequest get(String id) {
        return byId.get(id);
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    int size() {
        return byId.size();
    }

    /** All of them at this moment. */
    List<InFlightRequest> all() {
        return List.copyOf(byId.values());
    }

    void add(InFlightRequest request) {
        byId.put(request.id(), request);
    }

    /** Concludes a request with its final response, which the caller gives to the client. */
    void concludeWith(InFlightRequest request, Ending ending) {
        request.conclude();
        audit.responded(request.audit());
        metrics.requestEnded(request.className(), ending);
        removeIfDone(request);
    }

    /** Concludes a request whose client has disconnected. */
    void abandon(InFlightRequest request) {
        request.conclude();
        metrics.requestAbandoned();
        removeIfDone(request);
    }

    /** Forgets a request that is concluded and has no outstanding attempt. */
    void removeIfDone(InFlightRequest request) {
        if (request.isConcluded()
                && !request.hasOutstandingAttempt()
                && byId.remove(request.id(), request)) {
            request.cancelDeadlineTimer();
            request.body().release();
            request.cancelStallTimer();
        }
    }

    /** Gives a request whose time is over its final response, or cuts its stream short. */
    void failExpired(InFlightRequest request) {
        concludeWith(request, Ending.BAD_GATEWAY);
        if (request.isStreaming()) {
            request.client().end(false);
        } else {
            request.client().respondFailed();
        }
    }

    /** Reports the requests that have no final response. */
    void reportUnanswered(Violations violations, long nowNanos) {
        for (InFlightRequest request : all()) {
            if (!request.isConcluded()) {
                violations.report(Violation.OWED_AT_EXIT, nowNanos, "request " + request.id());
            }
        }
    }
}
