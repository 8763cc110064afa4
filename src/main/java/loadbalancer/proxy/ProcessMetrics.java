package loadbalancer.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import loadbalancer.transport.MemoryQuota;

/**
 * Holds the metrics of this process since its start. One thread writes, any thread reads; metrics
 * are not updated atomically together, so that a reader may see a request in one metric shortly
 * before another.
 */
public final class ProcessMetrics {
    /** The ending of a request as its client sees it. The names are part of metric names. */
    public enum Ending {
        /** The request was served: status 200. */
        PASSED,
        /** The request was rejected: status 503. */
        DROPPED,
        /** The request failed: status 504, or a response that was cut short. */
        BAD_GATEWAY
    }

    private static final String PREFIX = "app.";
    private static final Ending[] ENDINGS = Ending.values();

    /** Keyed by class name, not index, so that a class that new settings drop keeps its counts. */
    private final Map<String, AtomicLongArray> endingsByClass = new ConcurrentSkipListMap<>();

    private final AtomicLong inProgress = new AtomicLong();
    private final AtomicLong attempts = new AtomicLong();
    private final AtomicLong loads = new AtomicLong();
    private final AtomicLong loadErrors = new AtomicLong();
    private final Violations violations = new Violations();
    private volatile int listedEndpoints;
    private volatile int avoidedEndpoints;

    /** Null until the process has a transport. */
    private volatile MemoryQuota memoryQuota;

    /** Null in a balancer that is configured by its local file alone. */
    private volatile ControlMetrics control;

    /** Adds a request class to the metrics, with counts of 0. No effect if it is known. */
    public void register(String requestClass) {
        endingsByClass.computeIfAbsent(requestClass, c -> new AtomicLongArray(ENDINGS.length));
    }

    /** Counts a request that was received. */
    public void requestReceived() {
        inProgress.incrementAndGet();
    }

    /** Counts a request that got its final response. */
    public void requestEnded(String requestClass, Ending ending) {
        register(requestClass);
        endingsByClass.get(requestClass).incrementAndGet(ending.ordinal());
        inProgress.decrementAndGet();
    }

    /** Records that the client of a request disconnected before its response. */
    public void requestAbandoned() {
        inProgress.decrementAndGet();
    }

    /** Counts an attempt whose last byte was written to its endpoint. */
    public void attemptWritten() {
        attempts.incrementAndGet();
    }

    /**
     * Sets the endpoint counts.
     *
     * @param listed number of endpoints in the endpoint list
     * @param avoided number of these that get no requests at present
     */
    public void setEndpointCounts(int listed, int avoided) {
        listedEndpoints = listed;
        avoidedEndpoints = avoided;
    }

    /** Counts a new configuration as applied or as rejected. */
    public void configurationLoaded(boolean isApplied) {
        (isApplied ? loads : loadErrors).incrementAndGet();
    }

    /** Returns the violations that the run-time checks found. */
    public Violations violations() {
        return violations;
    }

    /** Adds metrics of the memory that connections hold. */
    public void enableMemory(MemoryQuota quota) {
        memoryQuota = quota;
    }

    /** Adds metrics of the control plane, and returns them for updates. */
    public ControlMetrics enableControl() {
        control = new ControlMetrics();
        return control;
    }

    /** Returns the number of requests in flight. */
    public long inProgress() {
        return inProgress.get();
    }

    /** Returns all metrics as text, one per line. */
    public String render() {
        StringBuilder out = new StringBuilder();
        endingsByClass.forEach(
                (name, counts) -> {
                    for (Ending ending : ENDINGS) {
                        String metric =
                                "handled."
                                        + name
                                        + "."
                                        + ending.name().toLowerCase(java.util.Locale.ROOT);
                        appendLine(out, metric, counts.get(ending.ordinal()), 'c');
                    }
                });
        appendLine(out, "upstream_tries", attempts.get(), 'c');
        appendLine(out, "in_progress", inProgress.get(), 'g');
        appendLine(out, "known_upstreams", listedEndpoints, 'g');
        appendLine(out, "skipped_upstreams", avoidedEndpoints, 'g');
        appendLine(out, "loads", loads.get(), 'c');
        appendLine(out, "load_errors", loadErrors.get(), 'c');
        appendLine(out, "violations", violations.total(), 'c');
        for (Violation kind : Violation.values()) {
            if (violations.count(kind) > 0) {
                appendLine(out, "violations." + Violations.name(kind), violations.count(kind), 'c');
            }
        }
        appendMemory(out);
        appendControl(out);
        return out.toString();
    }

    private void appendMemory(StringBuilder out) {
        MemoryQuota quota = memoryQuota;
        if (quota != null) {
            appendLine(out, "peer_memory_bytes", quota.reservedBytes(), 'g');
            appendLine(out, "peer_memory_limit_bytes", quota.limitBytes(), 'g');
            appendLine(out, "peer_memory_refusals", quota.refusals(), 'c');
        }
    }

    private void appendControl(StringBuilder out) {
        ControlMetrics metrics = control;
        if (metrics != null) {
            appendLine(out, "control_epoch", metrics.revisionEpoch(), 'g');
            appendLine(out, "control_revision", metrics.revisionNumber(), 'g');
            appendLine(out, "control_connected", metrics.isConnected() ? 1 : 0, 'g');
            appendLine(out, "control_refusals", metrics.rejections(), 'c');
        }
    }

    private static void appendLine(StringBuilder out, String name, long value, char type) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
