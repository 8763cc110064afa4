package loadbalancer.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.proxy.ProcessMetrics.Ending;

/**
 * Holds the requests in flight by id. Only this class concludes requests, counts their endings and
 * removes them. Used on the event loop only.
 */
final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final ProcessMetrics metrics;
    private final SendAudit audit;

    InFlightRequests(ProcessMetrics metrics, SendAudit audit) {
        this.metrics = metrics;
        this.audit = audit;
    }

    /** Returns the request with this id; null if it is not in flight. */
    InFlightRequest get(String id) {
        return byId.get(id);
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    int size() {
        return byId.size();
    }

    /** Returns a copy of the requests in flight. */
    List<InFlightRequest> all() {
        return List.copyOf(byId.values());
    }

    void add(InFlightRequest request) {
        byId.put(request.id(), request);
    }

    /** Concludes a request with its final response, which the caller sends to the client. */
    void concludeWith(InFlightRequest request, Ending ending) {
        request.conclude();
        audit.responded(request.audit());
        metrics.requestEnded(request.className(), ending);
        RequestLog.concluded(request, ending);
        removeIfDone(request);
    }

    /** Concludes a request whose client has disconnected. */
    void abandon(InFlightRequest request) {
        request.conclude();
        metrics.requestAbandoned();
        RequestLog.abandoned(request);
        removeIfDone(request);
    }

    /**
     * Removes a request that is concluded and has no outstanding attempt, releases its body and
     * cancels its timers.
     */
    void removeIfDone(InFlightRequest request) {
        if (request.isConcluded()
                && !request.hasOutstandingAttempt()
                && byId.remove(request.id(), request)) {
            request.cancelDeadlineTimer();
            request.body().release();
            request.cancelStallTimer();
            request.forgetIdIfNotExecuted();
        }
    }

    /** Fails a request whose deadline has passed; a response being streamed is cut short. */
    void failExpired(InFlightRequest request) {
        concludeWith(request, Ending.BAD_GATEWAY);
        if (request.isStreaming()) {
            request.client().end(false);
        } else {
            request.client().respondFailed();
        }
    }

    /** Reports each request that has no final response as a violation. */
    void reportUnanswered(Violations violations, long nowNanos) {
        for (InFlightRequest request : all()) {
            if (!request.isConcluded()) {
                violations.report(
                        Violation.OWED_AT_EXIT,
                        nowNanos,
                        "no final response to request " + request.id());
            }
        }
    }
}
