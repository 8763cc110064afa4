package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.UpstreamTransport.Response;

/**
 * Starts, counts and ends attempts; no other class does. Used on the event loop only; times are in
 * microseconds of {@link PolicyClock}.
 */
final class AttemptRunner {
    /** Decides whether an attempt may begin, and receives its events. */
    interface Listener {
        /** Returns whether an attempt may send its first byte now. */
        boolean mayBegin(InFlightRequest request, UpstreamAttempt attempt);

        /**
         * Called when a response starts that is too large to be buffered.
         *
         * @param length size in bytes, -1 if unknown
         * @return the stream that receives the response; null to discard it
         */
        ResponseStream responseStarted(
                InFlightRequest request, UpstreamAttempt attempt, long length);

        /**
         * Called once when an attempt has ended.
         *
         * @param response the complete response; null if there is none
         */
        void ended(
                InFlightRequest request,
                UpstreamAttempt attempt,
                AttemptOutcome outcome,
                Response response);
    }

    private final EventLoop loop;
    private final PolicyClock clock;
    private final UpstreamTransport upstreams;
    private final ProcessMetrics metrics;
    private final SendAudit audit;
    private Listener listener;

    AttemptRunner(
            EventLoop loop,
            PolicyClock clock,
            UpstreamTransport upstreams,
            ProcessMetrics metrics,
            SendAudit audit) {
        this.loop = loop;
        this.clock = clock;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.audit = audit;
    }

    /** Sets the listener. Called once, before the first attempt. */
    void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutMicros time-out of the attempt; 0 if only the request's deadline limits it
     */
    void start(InFlightRequest request, String endpointId, long timeoutMicros) {
        long now = clock.nowMicros();
        UpstreamAttempt attempt = request.addAttempt(endpointId, now);
        long untilDeadlineMicros = request.deadlineMicros() - now;
        long timeLeftMicros =
                timeoutMicros == 0
                        ? untilDeadlineMicros
                        : Math.max(0, Math.min(timeoutMicros, untilDeadlineMicros));
        long timeoutAtMicros = timeoutMicros == 0 ? Long.MAX_VALUE : now + timeoutMicros;
        UpstreamTransport.Attempt started =
                upstreams.start(
                        endpointId,
                        request.head(),
                        request.body(),
                        new AttemptListener(request, attempt, timeoutAtMicros));
        boolean endsAtDeadline = now + timeLeftMicros >= request.deadlineMicros();
        attempt.started(
                started,
                endsAtDeadline
                        ? null
                        : loop.schedule(
                                () -> abandon(request, attempt, AttemptOutcome.TIMEOUT),
                                timeLeftMicros,
                                TimeUnit.MICROSECONDS));
    }

    /**
     * Ends an attempt with this outcome and stops its transport. Does nothing if the attempt ends
     * by itself (see {@link UpstreamAttempt#abandon}).
     */
    void abandon(InFlightRequest request, UpstreamAttempt attempt, AttemptOutcome outcome) {
        boolean cutsResponse = attempt.isStreaming() && !request.isConcluded();
        if (attempt.abandon()) {
            end(request, attempt, outcome, null);
            if (cutsResponse) {
                request.client().end(false); // the stopped transport writes no more to the stream
            }
        }
    }

    /** Abandons the attempts of a request that match the predicate. */
    void abandonAll(
            InFlightRequest request, Predicate<UpstreamAttempt> matches, AttemptOutcome outcome) {
        for (int i = 0; i < request.attempts().size(); i++) {
            if (matches.test(request.attempts().get(i))) {
                abandon(request, request.attempts().get(i), outcome);
            }
        }
    }

    private void end(
            InFlightRequest request,
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            Response response) {
        AttemptOutcome reported = attempt.end(outcome);
        RequestLog.attemptEnded(request, attempt, reported);
        listener.ended(request, attempt, reported, response);
    }

    /** Receives the events of one attempt from the transport. */
    private final class AttemptListener implements UpstreamTransport.Listener {
        private final InFlightRequest request;
        private final UpstreamAttempt attempt;
        private final long timeoutAtMicros;

        AttemptListener(InFlightRequest request, UpstreamAttempt attempt, long timeoutAtMicros) {
            this.request = request;
            this.attempt = attempt;
            this.timeoutAtMicros = timeoutAtMicros;
        }

        @Override
        public boolean mayBegin() {
            if (!attempt.isOutstanding()) {
                return false;
            }
            attempt.check();
            return attempt.begin(listener.mayBegin(request, attempt));
        }

        @Override
        public long timeLeftMillis() {
            long endMicros = Math.min(timeoutAtMicros, request.deadlineMicros());
            long leftMicros = Math.min(endMicros - clock.nowMicros(), request.minTimeLeftMicros());
            return TimeUnit.MICROSECONDS.toMillis(Math.max(0, leftMicros));
        }

        @Override
        public void attemptBegins(long announcedMillis) {
            attempt.audit(
                    audit.attemptBegins(request.audit(), attempt.endpointId(), announcedMillis));
        }

        @Override
        public void requestWritten() {
            attempt.written(clock.nowMicros());
            metrics.attemptWritten();
        }

        @Override
        public void responseHeadReceived() {
            attempt.responseStarted(clock.nowMicros());
        }

        @Override
        public ResponseStream responseStarted(long length) {
            return listener.responseStarted(request, attempt, length);
        }

        @Override
        public void ended(AttemptOutcome outcome, Response response) {
            end(request, attempt, outcome, response);
        }
    }
}
