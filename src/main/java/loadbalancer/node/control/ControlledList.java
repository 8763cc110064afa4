package loadbalancer.node.control;

import java.util.concurrent.TimeUnit;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.ListSource;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.transport.Transport;

/** The endpoint list from control, in place of discovery's. For the balancer's loop. */
final class ControlledList implements ListSource {
    private static final long NEVER_RECEIVED = -1;

    private final Transport transport;
    private final String origin;
    private ConfigTarget balancer;
    private EndpointListUpdate current = EndpointListUpdate.EMPTY;

    /** Whether a control machine has confirmed the current list since the start. */
    private boolean isConfirmed;

    private boolean hasReceived;
    private long lastReceivedNanos;

    ControlledList(Transport transport, String service) {
        this.transport = transport;
        this.origin = "control/" + service;
    }

    /** Starts from a stored list, which no control machine has confirmed yet. */
    void restore(EndpointListUpdate stored) {
        current = stored;
    }

    /** Sets the balancer that is notified of lists from now on. */
    void begin(ConfigTarget target) {
        balancer = target;
    }

    /** A list is in force; the balancer is not notified of one with the same endpoints again. */
    void update(EndpointListUpdate next) {
        boolean isChanged = !next.entries().equals(current.entries());
        current = next;
        if (isChanged || !isConfirmed) {
            isConfirmed = true;
            balancer.replaceEndpointList(next);
        }
    }

    /** A line or heartbeat of a control machine was received. */
    void received() {
        hasReceived = true;
        lastReceivedNanos = transport.nanoTime();
    }

    /** A control machine has sent a heartbeat: nothing has changed. */
    void confirm() {
        if (!current.entries().isEmpty()) {
            update(current);
        }
    }

    /** Control sends every change by itself. */
    @Override
    public void watch(boolean on) {}

    @Override
    public void fetch() {
        transport
                .loop()
                .execute(
                        () -> {
                            if (isConfirmed) {
                                balancer.replaceEndpointList(current);
                            } else {
                                balancer.endpointListUnavailable();
                            }
                        });
    }

    @Override
    public long quietMillis() {
        return hasReceived
                ? TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastReceivedNanos)
                : NEVER_RECEIVED;
    }

    @Override
    public String origin() {
        return origin;
    }
}
