package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The timers that the policy sets, on the event loop. Their lateness shows how late the loop is.
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

    /** Tells the policy of the token after that time. */
    void schedule(String token, long delayMicros) {
        long dueNanos = lag.timerScheduled(TimeUnit.MICROSECONDS.toNanos(delayMicros));
        loop.schedule(() -> expired(token, dueNanos), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void expired(String token, long dueNanos) {
        lag.timerExpired(dueNanos);
        policy.post((policy, now) -> policy.timerExpired(now, token));
    }
}
