package loadbalancer.node.supervisor;

/** An action that a {@link ProcessSupervisor} requests, or an event that it reports. Immutable. */
sealed interface SupervisorAction {
    /** Requests the start of a process, which is identified by the number from then on. */
    record Start(int process, Variant variant) implements SupervisorAction {}

    /** Requests the graceful shutdown of a process. */
    record Terminate(int process) implements SupervisorAction {}

    /** Requests that a process is killed. */
    record Kill(int process) implements SupervisorAction {}

    /** Reports that a variant serves from now on. */
    record Serving(Variant variant) implements SupervisorAction {}

    /**
     * Reports that a variant did not become ready, or failed soon after it began to serve; the
     * fallback is the desired variant again.
     */
    record Failed(Variant variant, String reason) implements SupervisorAction {}
}
