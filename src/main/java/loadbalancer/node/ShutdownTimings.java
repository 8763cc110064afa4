package loadbalancer.node;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import loadbalancer.http1.downstream.ShutdownTimes;

/**
 * When a stop does what, in milliseconds after SIGTERM; docs/shutdown.md has it as a table. All of
 * it fits in before SIGKILL if the times are in order for the shortest deadline there is: 400 &lt;
 * {@link #ACCEPT_MS}, and {@link #LAST_REQUEST_MS} &gt; {@link #LAST_ANSWER_MS} &gt; {@link
 * #CLOSE_MS} &gt; 0, each counted back from SIGKILL.
 */
final class ShutdownTimings {
    /**
     * After SIGTERM connections come for up to 0.4 s more; a little later none waits to be
     * accepted.
     */
    static final long ACCEPT_MS = 500;

    /**
     * SIGKILL comes so long after SIGTERM and the longest deadline, which counts for 3 s at most.
     */
    static final long KILL_MS = 700;

    static final long LONGEST_DEADLINE_MS = 3_000;

    /**
     * So long before SIGKILL no connection is kept any more: a request read later has this for an
     * answer.
     */
    static final long LAST_REQUEST_MS = 700;

    /** What SIGKILL finds unanswered is lost: so long before it the last answers go out. */
    static final long LAST_ANSWER_MS = 250;

    /**
     * Clients that have their last answer close soon; who hasn't so long before SIGKILL isn't
     * waited for.
     */
    static final long CLOSE_MS = 100;

    private ShutdownTimings() {}

    /** By the longest time that a class of the settings gives its requests. */
    static ShutdownTimes of(LoadBalancerSettings settings) {
        long longest =
                settings.requestClasses().stream()
                        .mapToLong(RequestClass::clientTimeoutMicros)
                        .max()
                        .orElse(0);
        return of(longest / 1_000);
    }

    static ShutdownTimes of(long longestMs) {
        long kill = Math.min(LONGEST_DEADLINE_MS, longestMs) + KILL_MS;
        return new ShutdownTimes(
                ACCEPT_MS,
                Math.max(ACCEPT_MS, kill - LAST_REQUEST_MS),
                kill - LAST_ANSWER_MS,
                kill - CLOSE_MS);
    }
}
