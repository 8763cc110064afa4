package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.UpstreamTransport.Response;

/**
 * The one place where attempts are started, counted and ended. Used on the event loop only; times
 * are the policy's.
 */
final class AttemptRunner {
    /** Notified of what attempts do, and asked before one begins. */
    interface Listener {
        /** Whether an attempt may begin at this instant. */
        boolean mayBegin(InFlightRequest request, UpstreamAttempt attempt);

        /**
         * A response begins that is to be streamed.
         *
         * @param length bytes, -1 if not known
         * @return where it goes; null if nobody wants it
         */
        ResponseStream responseStarted(
                InFlightRequest request, UpstreamAttempt attempt, long length);

        /** An attempt has ended; {@code response} is null without a complete response. */
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

    /** Sets who is notified, once, before the first attempt. */
    void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Starts an attempt; with a time-out of 0 it lasts until the request's deadline. */
    void start(InFlightRequest request, String endpointId, long timeoutMicros) {
        long now = clock.nowMicros();
        UpstreamAttempt attempt = request.addAttempt(endpointId, now);
        long untilDeadline = request.deadlineMicros() - now;
        long left =
                timeoutMicros == 0
                        ? untilDeadline
                        : Math.max(0, Math.min(timeoutMicros, untilDeadline));
        long timeoutAt = timeoutMicros == 0 ? Long.MAX_VALUE : now + timeoutMicros;
        UpstreamTransport.Attempt started =
                upstreams.start(
                        endpointId,
                        request.head(),
                        request.body(),
                        new AttemptListener(request, attempt, timeoutAt));
        boolean endsAtDeadline = now + left >= request.deadlineMicros();
        attempt.started(
                started,
                endsAtDeadline
                        ? null
                        : loop.schedule(
                                () -> abandon(request, attempt, AttemptOutcome.TIMEOUT),
                                left,
                                TimeUnit.MICROSECONDS));
    }

    /** Stops waiting for an attempt, if that is possible at this point. */
    void abandon(InFlightRequest request, UpstreamAttempt attempt, AttemptOutcome outcome) {
        boolean cutsResponse = attempt.isStreaming() && !request.isConcluded();
        if (attempt.abandon()) {
            end(request, attempt, outcome, null);
            if (cutsResponse) {
                request.client().end(false); // the transport that fed the stream is stopped, too
            }
        }
    }

    /** Stops waiting for those attempts of a request that match. */
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
        listener.ended(request, attempt, attempt.end(outcome), response);
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
            long end = Math.min(timeoutAtMicros, request.deadlineMicros());
            long left = Math.min(end - clock.nowMicros(), request.descriptor().timeLeftMicros());
            return TimeUnit.MICROSECONDS.toMillis(Math.max(0, left));
        }

        @Override
        public void beginning(long announcedMillis) {
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
