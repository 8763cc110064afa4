package loadbalancer.node.control;

import java.util.concurrent.TimeUnit;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.ListSource;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.transport.Transport;

/** The list of upstreams as control gives it, in the place of discovery's; on the loop. */
final class ControlledList implements ListSource {
    private static final long NEVER = -1;

    private final Transport transport;
    private final String origin;
    private ConfigTarget balancer;
    private EndpointListUpdate current = EndpointListUpdate.EMPTY;

    /** Whether a control machine has confirmed the current list since the start. */
    private boolean confirmed;

    private boolean heard;
    private long heardAtNanos;

    ControlledList(Transport transport, String service) {
        this.transport = transport;
        this.origin = "control/" + service;
    }

    /** Starts from a list that nobody has confirmed yet. */
    void restore(EndpointListUpdate kept) {
        current = kept;
    }

    /** From now on that balancer is told of lists. */
    void begin(ConfigTarget target) {
        balancer = target;
    }

    /** A list is in force; one with the same upstreams as before is not told again. */
    void update(EndpointListUpdate next) {
        boolean changed = !next.entries().equals(current.entries());
        current = next;
        if (changed || !confirmed) {
            confirmed = true;
            balancer.list(next);
        }
    }

    /** Something was heard from a control machine. */
    void heard() {
        heard = true;
        heardAtNanos = transport.nanoTime();
    }

    /** A control machine says that nothing has changed. */
    void confirm() {
        if (!current.entries().isEmpty()) {
            update(current);
        }
    }

    /** Control tells by itself of every change. */
    @Override
    public void watch(boolean on) {}

    @Override
    public void fetch() {
        transport
                .loop()
                .execute(
                        () -> {
                            if (confirmed) {
                                balancer.list(current);
                            } else {
                                balancer.listUnavailable();
                            }
                        });
    }

    @Override
    public long quietMs() {
        return heard ? TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - heardAtNanos) : NEVER;
    }

    @Override
    public String origin() {
        return origin;
    }
}
