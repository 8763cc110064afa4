package loadbalancer.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts what this process has done since its start. One thread writes, any thread reads; a reader
 * may see a request in one metric a moment before it sees it in another. The names are those that
 * operators read.
 */
public final class ProcessMetrics {
    /** How a request ended, as its client sees it. */
    public enum Ending {
        /** Served: 200. */
        PASSED,
        /** Rejected: 503. */
        DROPPED,
        /** Failed: 504, or cut short. */
        BAD_GATEWAY
    }

    private static final String PREFIX = "app.";
    private static final Ending[] ENDINGS = Ending.values();

    /** By name and never by place: a class that new settings drop keeps its figures. */
    private final Map<String, AtomicLongArray> handled = new ConcurrentSkipListMap<>();

    private final AtomicLong inProgress = new AtomicLong();
    private final AtomicLong tries = new AtomicLong();
    private final AtomicLong loads = new AtomicLong();
    private final AtomicLong loadErrors = new AtomicLong();
    private final Violations violations = new Violations();
    private volatile int known;
    private volatile int skipped;

    /** Null in a balancer that goes by its local file alone. */
    private volatile ControlMetrics control;

    /** Shows a class from now on, with zeros until a request of it has ended. */
    public void register(String requestClass) {
        handled.computeIfAbsent(requestClass, c -> new AtomicLongArray(ENDINGS.length));
    }

    /** A request was received. */
    public void requestReceived() {
        inProgress.incrementAndGet();
    }

    /** A request has its final response. */
    public void requestEnded(String requestClass, Ending how) {
        register(requestClass);
        handled.get(requestClass).incrementAndGet(how.ordinal());
        inProgress.decrementAndGet();
    }

    /** The client of a request has disconnected before its response. */
    public void requestAbandoned() {
        inProgress.decrementAndGet();
    }

    /** The last byte of an attempt was written to an endpoint. */
    public void attemptWritten() {
        tries.incrementAndGet();
    }

    /** Sets how many endpoints are listed, and how many of them get no requests at present. */
    public void setEndpointCounts(int listed, int avoided) {
        known = listed;
        skipped = avoided;
    }

    /** A new configuration was applied, or rejected. */
    public void configurationLoaded(boolean taken) {
        (taken ? loads : loadErrors).incrementAndGet();
    }

    /** What the run-time checks have found. */
    public Violations violations() {
        return violations;
    }

    /** Shows metrics of the control plane from now on. */
    public ControlMetrics enableControl() {
        control = new ControlMetrics();
        return control;
    }

    /** How many requests are in flight. */
    public long inProgress() {
        return inProgress.get();
    }

    /** All metrics, one a line. */
    public String render() {
        StringBuilder out = new StringBuilder();
        handled.forEach(
                (name, counts) -> {
                    for (Ending how : ENDINGS) {
                        String figure =
                                "handled."
                                        + name
                                        + "."
                                        + how.name().toLowerCase(java.util.Locale.ROOT);
                        line(out, figure, counts.get(how.ordinal()), 'c');
                    }
                });
        line(out, "upstream_tries", tries.get(), 'c');
        line(out, "in_progress", inProgress.get(), 'g');
        line(out, "known_upstreams", known, 'g');
        line(out, "skipped_upstreams", skipped, 'g');
        line(out, "loads", loads.get(), 'c');
        line(out, "load_errors", loadErrors.get(), 'c');
        line(out, "violations", violations.total(), 'c');
        for (Violation kind : Violation.values()) {
            if (violations.count(kind) > 0) {
                line(out, "violations." + Violations.name(kind), violations.count(kind), 'c');
            }
        }
        control(out);
        return out.toString();
    }

    private void control(StringBuilder out) {
        ControlMetrics shown = control;
        if (shown != null) {
            line(out, "control_epoch", shown.epoch(), 'g');
            line(out, "control_revision", shown.number(), 'g');
            line(out, "control_connected", shown.isConnected() ? 1 : 0, 'g');
            line(out, "control_refusals", shown.rejections(), 'c');
        }
    }

    private static void line(StringBuilder out, String name, long value, char type) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
