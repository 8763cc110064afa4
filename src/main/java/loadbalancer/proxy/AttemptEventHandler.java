package loadbalancer.proxy;

import java.util.function.Consumer;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.LoadReport;
import loadbalancer.proxy.ProcessMetrics.Ending;
import loadbalancer.proxy.UpstreamTransport.Response;

/**
 * Handles the events of attempts: decides whether an attempt may begin, starts streamed responses,
 * sends the response of a successful attempt to the client, and reports each outcome to the policy.
 * Used on the event loop only.
 */
final class AttemptEventHandler implements AttemptRunner.Listener {
    private final PolicyClock clock;
    private final PolicyEventQueue policy;
    private final InFlightRequests requests;
    private final AttemptRunner attempts;
    private final LoadReports reports;
    private final Consumer<String> onDisconnect;

    /**
     * Creates the handler.
     *
     * @param onDisconnect receives the id of a request whose client turns out to be disconnected
     */
    AttemptEventHandler(
            PolicyClock clock,
            PolicyEventQueue policy,
            InFlightRequests requests,
            AttemptRunner attempts,
            LoadReports reports,
            Consumer<String> onDisconnect) {
        this.clock = clock;
        this.policy = policy;
        this.requests = requests;
        this.attempts = attempts;
        this.reports = reports;
        this.onDisconnect = onDisconnect;
    }

    @Override
    public boolean mayBegin(InFlightRequest request, UpstreamAttempt attempt) {
        if (!request.isConcluded() && !request.client().isClientConnected()) {
            onDisconnect.accept(request.id());
        }
        return request.mayBegin(attempt, clock.nowMicros()) && request.recordId();
    }

    /**
     * Streams this response to the client: the other attempts are cancelled, and the deadline of
     * the request no longer applies.
     */
    @Override
    public ResponseStream responseStarted(
            InFlightRequest request, UpstreamAttempt attempt, long length) {
        if (request.isConcluded() || request.isStreaming()) {
            return null;
        }
        request.startStreaming();
        attempt.startStreaming();
        policy.post((policy, now) -> policy.responseStarted(now, request.id(), attempt.index()));
        attempts.abandonAll(request, other -> other != attempt, AttemptOutcome.CANCELLED);
        request.client().startResponse(length);
        return request.client();
    }

    @Override
    public void ended(
            InFlightRequest request,
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            Response response) {
        boolean isSuccess = outcome == AttemptOutcome.SUCCESS;
        if (attempt.isStreaming() && !request.isConcluded()) {
            requests.concludeWith(request, isSuccess ? Ending.PASSED : Ending.BAD_GATEWAY);
        } else if (isSuccess && !request.isConcluded()) {
            requests.concludeWith(request, Ending.PASSED);
            request.client().respondSuccess(response.body());
        }
        LoadReport report = response == null ? null : reports.read(response.load());
        requests.removeIfDone(request);
        long durationMicros = attempt.durationMicros(clock.nowMicros());
        policy.post(
                (policy, now) ->
                        policy.attemptEnded(
                                now, result(request, attempt, outcome, durationMicros, report)));
    }

    private static AttemptResult result(
            InFlightRequest request,
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            long durationMicros,
            LoadReport report) {
        return new AttemptResult(
                request.id(),
                attempt.index(),
                attempt.endpointId(),
                outcome,
                durationMicros,
                request.isConcluded(),
                report);
    }
}
