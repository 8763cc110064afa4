package loadbalancer.node;

import java.util.List;

/**
 * Follows whether a sibling process runs at the same address, as during a hand-over. Adapts the
 * connection limits, because both processes share one limit of file descriptors, and decides which
 * of the two represents the balancer towards the overlay. Used on the event loop.
 */
final class SiblingMonitor {
    private final SiblingProcess sibling;
    private final NodeComponents components;
    private final ConfigOverlay overlay;
    private final CurrentConfig currentConfig;
    private final List<SharedStateExchange<?>> exchanges;
    private boolean isSiblingRunning;

    /** Whether the sibling started before this process; false from the sibling's end on. */
    private boolean startedSecond;

    /**
     * Creates a monitor that has notified no component yet.
     *
     * @param isSiblingRunning whether a sibling ran when the components were created
     * @param exchanges the states that the two processes share
     */
    SiblingMonitor(
            SiblingProcess sibling,
            boolean isSiblingRunning,
            NodeComponents components,
            ConfigOverlay overlay,
            CurrentConfig currentConfig,
            List<SharedStateExchange<?>> exchanges) {
        this.sibling = sibling;
        this.isSiblingRunning = isSiblingRunning;
        this.startedSecond = isSiblingRunning;
        this.components = components;
        this.overlay = overlay;
        this.currentConfig = currentConfig;
        this.exchanges = exchanges;
    }

    /** Checks the state of the sibling and applies changes. */
    void poll(boolean isStopping) {
        boolean isRunning = sibling.isRunning();
        startedSecond &= isRunning;
        if (isStopping) {
            components.server().setSuccessorListening(sibling.isListening());
        }
        if (isRunning != isSiblingRunning) {
            isSiblingRunning = isRunning;
            applyConnectionLimits();
            components.dispatcher().siblingProcessChanged(isRunning);
        }
        // Last, because the shutdown must not depend on them if they fail.
        notifyLeadership(isStopping);
        exchanges.forEach(exchange -> exchange.poll(isRunning, startedSecond));
    }

    /** Notifies the overlay whether this process represents the balancer. */
    void notifyLeadership(boolean isStopping) {
        overlay.setLeading(isStopping ? !sibling.isRunning() : !isSecondBesideAnother());
    }

    private boolean isSecondBesideAnother() {
        return startedSecond && sibling.isListening();
    }

    private void applyConnectionLimits() {
        ConnectionLimits limits =
                ConnectionLimits.of(currentConfig.get().maxDescriptors(), isSiblingRunning);
        components.server().setMaxConnections(limits.clients());
        components.upstreams().setMaxConnections(limits.upstreams());
    }
}
