package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Runs the timers of the policy on the event loop, and measures the lag of the loop by their
 * lateness.
 */
final class PolicyTimers {
    private final EventLoop loop;
    private final PolicyEventQueue policy;
    private final EventLoopLag lag;

    PolicyTimers(EventLoop loop, PolicyEventQueue policy, EventLoopLag lag) {
        this.loop = loop;
        this.policy = policy;
        this.lag = lag;
    }

    /** Schedules a timer, whose expiry is reported to the policy with the token. */
    void schedule(String token, long delayMicros) {
        long dueNanos = lag.timerScheduled(TimeUnit.MICROSECONDS.toNanos(delayMicros));
        loop.schedule(() -> expired(token, dueNanos), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void expired(String token, long dueNanos) {
        lag.timerExpired(dueNanos);
        policy.post((balancer, now) -> balancer.timerExpired(now, token));
    }
}
