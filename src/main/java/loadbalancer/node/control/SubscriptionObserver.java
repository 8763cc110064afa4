package loadbalancer.node.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.logging.QuietPeriodLogFilter;
import loadbalancer.proxy.ControlMetrics;
import loadbalancer.transport.Transport;

/**
 * Reports the state of a subscription to operators: updates metrics, and logs each rejected update,
 * the loss of the connection and its recovery. Forwards the subscriber's calls to its connections.
 * Used on the balancer's event loop only.
 */
final class SubscriptionObserver implements SubscriptionTransport {
    private static final System.Logger LOG = System.getLogger(SubscriptionObserver.class.getName());

    private final Transport transport;
    private final SubscriptionTransport connections;
    private final ControlMetrics metrics;
    private final QuietPeriodLogFilter lossLogFilter = new QuietPeriodLogFilter();
    private Revision lastRejected = Revision.NONE;
    private int server;
    private boolean isConnected;

    /** Whether the next connection is logged; initially true, so that the first one is. */
    private boolean isConnectLogDue = true;

    SubscriptionObserver(
            Transport transport, SubscriptionTransport connections, ControlMetrics metrics) {
        this.transport = transport;
        this.connections = connections;
        this.metrics = metrics;
    }

    /** Called when a line or a heartbeat of the open subscription was received. */
    void onDataReceived() {
        if (!isConnected) {
            setConnected(true);
            if (isConnectLogDue) {
                LOG.log(System.Logger.Level.INFO, "connected to control server " + server);
                isConnectLogDue = false;
            }
        }
    }

    /** Called when the open subscription has ended. */
    void onEnded(String reason) {
        setConnected(false);
        if (lossLogFilter.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "lost the connection to the control server; keeping the last configuration: "
                            + reason);
            isConnectLogDue = true;
        }
    }

    private void setConnected(boolean connected) {
        isConnected = connected;
        metrics.setConnected(connected);
    }

    @Override
    public void open(int index, SubscribeRequest request) {
        server = index;
        setConnected(false);
        connections.open(index, request);
    }

    @Override
    public void pauseReading(boolean paused) {
        connections.pauseReading(paused);
    }

    @Override
    public void close() {
        if (isConnected) {
            onEnded("connection to server " + server + " closed by the subscriber");
        }
        connections.close();
    }

    @Override
    public void acknowledge(int to, Acknowledgement acknowledgement) {
        if (acknowledgement.status() == Acknowledgement.Status.REJECTED) {
            onRejected(acknowledgement);
        }
        connections.acknowledge(to, acknowledgement);
    }

    /** Counts and logs a rejection once, although it is sent again on each new connection. */
    private void onRejected(Acknowledgement rejection) {
        if (!rejection.rejected().equals(lastRejected)) {
            lastRejected = rejection.rejected();
            metrics.updateRejected();
            LOG.log(
                    System.Logger.Level.WARNING,
                    "rejected revision "
                            + rejection.rejected()
                            + ", keeping "
                            + rejection.inForce()
                            + ": "
                            + rejection.place()
                            + ": "
                            + rejection.reason());
        }
    }
}
