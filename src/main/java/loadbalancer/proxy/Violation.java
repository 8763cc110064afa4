package loadbalancer.proxy;

/**
 * Kinds of violations that the run-time checks detect. Their names in lower case appear in {@code
 * STATS} and the log.
 */
public enum Violation {
    /** An attempt began after its client had disconnected. */
    CLIENT_GONE,
    /** An attempt began after the client's deadline. */
    DEADLINE_OVER,
    /** More time was announced to an endpoint than the client had left. */
    TOLD_TOO_MUCH,
    /**
     * An attempt went to an unknown endpoint, or to one that was draining or removed for longer
     * than the grace period.
     */
    DRAINING_UPSTREAM,
    /** An endpoint got more attempts from this process than its slow-start quota allows. */
    SLOW_START_EXCEEDED,
    /** Two attempts of a request were outstanding where hedging is not allowed. */
    SECOND_COPY,
    /**
     * A request that may have been executed was retried outside its idempotency window or scope.
     */
    REPEAT_NOT_ALLOWED,
    /** A request got more than one final response. */
    ANSWERED_TWICE,
    /** This process closed the connection of a complete request without a response. */
    CLOSED_UNANSWERED,
    /** The process ended with a request that had no final response. */
    OWED_AT_EXIT,
    /** The listener was closed while clients may have waited in its accept queue. */
    LISTENER_CLOSED_EARLY
}
