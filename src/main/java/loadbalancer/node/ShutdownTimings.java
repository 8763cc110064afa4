package loadbalancer.node;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import loadbalancer.http1.downstream.ShutdownTimes;

/**
 * Times of the steps of a shutdown, in milliseconds after SIGTERM; docs/shutdown.md lists them in a
 * table. All steps come before SIGKILL, also for the shortest deadline, if 400 &lt; {@link
 * #ACCEPT_MS} and {@link #LAST_REQUEST_MS} &gt; {@link #LAST_ANSWER_MS} &gt; {@link #CLOSE_MS} &gt;
 * 0, where the latter three are counted back from SIGKILL.
 */
final class ShutdownTimings {
    /**
     * Time for which connections are accepted. New ones arrive for up to 0.4 s after SIGTERM, and
     * the remaining 0.1 s is for the accept queue to empty.
     */
    static final long ACCEPT_MS = 500;

    /**
     * SIGKILL arrives this long after SIGTERM plus the longest deadline, of which at most {@link
     * #LONGEST_DEADLINE_MS} count.
     */
    static final long KILL_MS = 700;

    static final long LONGEST_DEADLINE_MS = 3_000;

    /**
     * Time before SIGKILL from which no connection is kept open for further requests, so that the
     * last request has this long for its response.
     */
    static final long LAST_REQUEST_MS = 700;

    /**
     * Time before SIGKILL at which the last final responses are sent, as a request without one at
     * SIGKILL is lost.
     */
    static final long LAST_ANSWER_MS = 250;

    /**
     * Time before SIGKILL at which the process stops waiting for clients to close. Most close soon
     * after their last response.
     */
    static final long CLOSE_MS = 100;

    private ShutdownTimings() {}

    /** Returns the times for the longest client timeout of all request classes of the settings. */
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
