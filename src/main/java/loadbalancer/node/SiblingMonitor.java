package loadbalancer.node;

/**
 * Follows whether a second process serves at the same address, as while one replaces the other:
 * adapts the connection limits, because both share one allowance of descriptors, and decides which
 * of the two represents the balancer to others. On the loop.
 */
final class SiblingMonitor {
    private final SiblingProcess sibling;
    private final NodeComponents components;
    private final ConfigOverlay overlay;
    private final CurrentConfig currentConfig;
    private boolean isSiblingRunning;

    /** Whether the sibling was there first; false for good once it has gone. */
    private boolean startedSecond;

    /**
     * Notifies nobody yet.
     *
     * @param isSiblingRunning what the components were created for
     */
    SiblingMonitor(
            SiblingProcess sibling,
            boolean isSiblingRunning,
            NodeComponents components,
            ConfigOverlay overlay,
            CurrentConfig currentConfig) {
        this.sibling = sibling;
        this.isSiblingRunning = isSiblingRunning;
        this.startedSecond = isSiblingRunning;
        this.components = components;
        this.overlay = overlay;
        this.currentConfig = currentConfig;
    }

    /** Checks the sibling again and applies what changed. */
    void poll(boolean isStopping) {
        boolean isRunning = sibling.isRunning();
        startedSecond &= isRunning;
        notifyLeadership(isStopping);
        if (isStopping) {
            components.server().setSuccessorListening(sibling.isListening());
        }
        if (isRunning != isSiblingRunning) {
            isSiblingRunning = isRunning;
            applyConnectionLimits();
            components.dispatcher().siblingProcessChanged(isRunning);
        }
    }

    /** Tells the overlay whether this process represents the balancer. */
    void notifyLeadership(boolean isStopping) {
        overlay.setLeading(!isStopping && !(startedSecond && sibling.isListening()));
    }

    private void applyConnectionLimits() {
        ConnectionLimits limits =
                ConnectionLimits.of(currentConfig.get().sockets(), isSiblingRunning);
        components.server().setMaxConnections(limits.clients());
        components.upstreams().setMaxConnections(limits.upstreams());
    }
}
