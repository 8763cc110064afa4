package loadbalancer.proxy;

import java.util.function.Supplier;
import loadbalancer.AttemptOutcome;

/**
 * Logs at DEBUG what happens to each request, with its id: why it expires, how each attempt ends,
 * and how the request ends. Used on the event loop only.
 */
final class RequestLog {
    private static final System.Logger LOG = System.getLogger(RequestLog.class.getName());

    /** Why a request ends without waiting for the policy. */
    enum Expiry {
        DEADLINE("its deadline has passed"),
        UPLOAD_BLOCKED("no endpoint takes its body"),
        SHUTDOWN("the process stops");

        private final String reason;

        Expiry(String reason) {
            this.reason = reason;
        }
    }

    private RequestLog() {}

    private static void log(InFlightRequest request, Supplier<String> event) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        "request "
                                + request.id()
                                + " of class "
                                + request.className()
                                + ": "
                                + event.get());
    }

    static void expired(InFlightRequest request, Expiry expiry) {
        log(
                request,
                () ->
                        "expired, "
                                + expiry.reason
                                + "; "
                                + request.body().receivedBytes()
                                + " bytes of its body received");
    }

    static void attemptEnded(
            InFlightRequest request, UpstreamAttempt attempt, AttemptOutcome outcome) {
        log(
                request,
                () ->
                        "attempt "
                                + attempt.index()
                                + " to "
                                + attempt.endpointId()
                                + " ended: "
                                + outcome);
    }

    static void concluded(InFlightRequest request, ProcessMetrics.Ending ending) {
        log(request, () -> "final response: " + ending);
    }

    static void abandoned(InFlightRequest request) {
        log(request, () -> "abandoned, its client has disconnected");
    }
}
