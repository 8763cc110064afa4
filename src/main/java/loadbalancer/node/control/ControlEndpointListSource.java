package loadbalancer.node.control;

import java.util.concurrent.TimeUnit;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.ListSource;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.transport.Transport;

/**
 * Provides the endpoint list from the control servers in place of discovery. Used on the balancer's
 * event loop only.
 */
final class ControlEndpointListSource implements ListSource {
    private static final long NEVER_RECEIVED = -1;

    private final Transport transport;
    private final String origin;
    private ConfigTarget balancer;
    private EndpointListUpdate current = EndpointListUpdate.EMPTY;

    /** Whether a control server has confirmed the current list since this process started. */
    private boolean isConfirmed;

    private boolean hasReceived;
    private long lastReceivedNanos;

    ControlEndpointListSource(Transport transport, String service) {
        this.transport = transport;
        this.origin = "control/" + service;
    }

    /** Sets a list restored from disk, which no control server has confirmed yet. */
    void restore(EndpointListUpdate stored) {
        current = stored;
    }

    /** Sets the balancer that is notified of list changes from now on. */
    void setTarget(ConfigTarget target) {
        balancer = target;
    }

    /** Sets the list in force to that of a sibling process, and notifies the balancer. */
    void adopt(EndpointListUpdate next) {
        if (isConfirmed) {
            update(next);
        } else {
            current = next;
            balancer.restoreEndpointList(next);
        }
    }

    /**
     * Sets the list in force. Notifies the balancer if the endpoints differ from the previous
     * list's or if the previous list was not confirmed.
     */
    void update(EndpointListUpdate next) {
        boolean isChanged = !next.entries().equals(current.entries());
        current = next;
        if (isChanged || !isConfirmed) {
            isConfirmed = true;
            balancer.replaceEndpointList(next);
        }
    }

    /** Called when a line or a heartbeat of a control server was received. */
    void onDataReceived() {
        hasReceived = true;
        lastReceivedNanos = transport.nanoTime();
    }

    /**
     * Called when a control server has sent a heartbeat, which means that the current list is
     * unchanged.
     */
    void confirm() {
        if (!current.entries().isEmpty()) {
            update(current);
        }
    }

    /** Does nothing, because control servers send every change without being asked. */
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
    public long version() {
        return current.version();
    }

    @Override
    public String origin() {
        return origin;
    }
}
