package loadbalancer.node.supervisor;

/** What a {@link ProcessSupervisor} wants done, or reports. Immutable. */
sealed interface SupervisorAction {
    /** Start a process under that number. */
    record Start(int process, Variant variant) implements SupervisorAction {}

    /** Ask it to shut down gracefully. */
    record Terminate(int process) implements SupervisorAction {}

    /** End it at once. */
    record Kill(int process) implements SupervisorAction {}

    /** That variant serves from now on. */
    record Serving(Variant variant) implements SupervisorAction {}

    /**
     * That variant could not be brought to serve, or not for long; the fallback is desired again.
     */
    record Failed(Variant variant, String reason) implements SupervisorAction {}
}
