package loadbalancer.node.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.logging.QuietPeriodLogFilter;
import loadbalancer.proxy.ControlMetrics;
import loadbalancer.transport.Transport;

/**
 * Shows operators the state of a subscription: metrics, a log line for each rejected update, and
 * one when the connection is lost and when it is back. Passes the subscriber's calls on to its
 * connections. For the balancer's loop.
 */
final class SubscriptionObserver implements SubscriptionTransport {
    private static final System.Logger LOG = System.getLogger(SubscriptionObserver.class.getName());

    private final Transport transport;
    private final SubscriptionTransport connections;
    private final ControlMetrics metrics;
    private final QuietPeriodLogFilter lostLine = new QuietPeriodLogFilter();
    private Revision lastRejected = Revision.NONE;
    private int server;
    private boolean isConnected;
    private boolean isLossLogged = true;

    SubscriptionObserver(
            Transport transport, SubscriptionTransport connections, ControlMetrics metrics) {
        this.transport = transport;
        this.connections = connections;
        this.metrics = metrics;
    }

    /** A line or heartbeat of the open subscription was received. */
    void received() {
        if (!isConnected) {
            connected(true);
            if (isLossLogged) {
                LOG.log(System.Logger.Level.INFO, "connected to control server " + server);
                isLossLogged = false;
            }
        }
    }

    /** The open subscription has ended. */
    void ended(String reason) {
        connected(false);
        if (lostLine.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "lost the control connection, keeps the last configuration: " + reason);
            isLossLogged = true;
        }
    }

    private void connected(boolean now) {
        isConnected = now;
        metrics.setConnected(now);
    }

    @Override
    public void open(int index, SubscribeRequest request) {
        server = index;
        connected(false);
        connections.open(index, request);
    }

    @Override
    public void pauseReading(boolean paused) {
        connections.pauseReading(paused);
    }

    @Override
    public void close() {
        if (isConnected) {
            ended("server " + server + " was left");
        }
        connections.close();
    }

    @Override
    public void acknowledge(int to, Acknowledgement acknowledgement) {
        if (acknowledgement.status() == Acknowledgement.Status.REJECTED) {
            rejected(acknowledgement);
        }
        connections.acknowledge(to, acknowledgement);
    }

    /** A rejection is sent again at each new connection, but counts once. */
    private void rejected(Acknowledgement rejection) {
        if (!rejection.rejected().equals(lastRejected)) {
            lastRejected = rejection.rejected();
            metrics.updateRejected();
            LOG.log(
                    System.Logger.Level.WARNING,
                    "rejected revision "
                            + rejection.rejected()
                            + ", keeps "
                            + rejection.inForce()
                            + ": "
                            + rejection.place()
                            + ": "
                            + rejection.reason());
        }
    }
}
