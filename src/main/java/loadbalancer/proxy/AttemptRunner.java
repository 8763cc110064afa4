package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.UpstreamTransport.Answer;

/**
 * The one place where attempts are started, counted and ended. Times are the module's, in
 * microseconds.
 */
final class AttemptRunner {
    /** Whose requests these are. */
    interface Owner {
        /** Whether it may begin at this instant. */
        boolean mayBegin(InFlightRequest o, UpstreamAttempt attempt);

        /** A large answer begins; null if nobody wants it. */
        ResponseStream opened(InFlightRequest o, UpstreamAttempt attempt, long length);

        /** It has ended; {@code answer} is null if none came whole. */
        void ended(
                InFlightRequest o, UpstreamAttempt attempt, AttemptOutcome outcome, Answer answer);
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final UpstreamTransport back;
    private final ProcessMetrics figures;
    private final SendAudit audit;
    private final Owner owner;

    AttemptRunner(
            EventLoop loop,
            LongSupplier clock,
            UpstreamTransport back,
            ProcessMetrics figures,
            SendAudit audit,
            Owner owner) {
        this.loop = loop;
        this.clock = clock;
        this.back = back;
        this.figures = figures;
        this.audit = audit;
        this.owner = owner;
    }

    /** Starts one that waits for its answer so long, or for 0 as long as the client does. */
    void start(InFlightRequest o, String upstream, long timeout) {
        long now = clock.getAsLong();
        UpstreamAttempt attempt = o.add(upstream, now);
        long left =
                timeout == 0 ? o.deadline - now : Math.max(0, Math.min(timeout, o.deadline - now));
        long timeoutAt = timeout == 0 ? Long.MAX_VALUE : now + timeout;
        UpstreamTransport.Attempt under =
                back.start(upstream, o.head, o.body, new Life(o, attempt, timeoutAt));
        attempt.started(
                under,
                now + left >= o.deadline
                        ? null
                        : loop.schedule(
                                () -> giveUp(o, attempt, AttemptOutcome.TIMEOUT),
                                left,
                                TimeUnit.MICROSECONDS));
    }

    /** Stops waiting for it, if that goes at this point. */
    void giveUp(InFlightRequest o, UpstreamAttempt attempt, AttemptOutcome how) {
        boolean cut = attempt.streams() && !o.concluded;
        if (attempt.giveUp()) {
            end(o, attempt, how, null);
            if (cut) {
                o.client.end(false); // whoever passed the answer on is called off, too
            }
        }
    }

    /** The same for those of a request that are meant. */
    void giveUpAll(InFlightRequest o, Predicate<UpstreamAttempt> meant, AttemptOutcome how) {
        for (int i = 0; i < o.attempts.size(); i++) {
            if (meant.test(o.attempts.get(i))) {
                giveUp(o, o.attempts.get(i), how);
            }
        }
    }

    private void end(
            InFlightRequest o, UpstreamAttempt attempt, AttemptOutcome how, Answer answer) {
        owner.ended(o, attempt, attempt.end(how), answer);
    }

    /** What is heard of one attempt. */
    private final class Life implements UpstreamTransport.Listener {
        private final InFlightRequest o;
        private final UpstreamAttempt attempt;
        private final long timeoutAt;

        Life(InFlightRequest o, UpstreamAttempt attempt, long timeoutAt) {
            this.o = o;
            this.attempt = attempt;
            this.timeoutAt = timeoutAt;
        }

        @Override
        public boolean mayBegin() {
            if (!attempt.isOut()) {
                return false;
            }
            attempt.ask();
            return attempt.begin(owner.mayBegin(o, attempt));
        }

        @Override
        public long timeLeftMillis() {
            long untilEnd = Math.min(timeoutAt, o.deadline) - clock.getAsLong();
            long left = Math.min(untilEnd, o.request.timeLeftMicros());
            long millis = TimeUnit.MICROSECONDS.toMillis(Math.max(0, left));
            attempt.audit = audit.sending(o.audit, attempt.upstream, millis);
            return millis;
        }

        @Override
        public void written() {
            attempt.written(clock.getAsLong());
            figures.tried();
        }

        @Override
        public void began() {
            attempt.opened(clock.getAsLong());
        }

        @Override
        public ResponseStream opened(long length) {
            return owner.opened(o, attempt, length);
        }

        @Override
        public void ended(AttemptOutcome outcome, Answer answer) {
            end(o, attempt, outcome, answer);
        }
    }
}
