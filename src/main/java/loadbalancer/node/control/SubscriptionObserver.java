package loadbalancer.node.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.logging.LogOnce;
import loadbalancer.proxy.ControlMetrics;
import loadbalancer.transport.Transport;

/**
 * Shows operators what becomes of a subscription: figures, a line for each refused update, and a
 * line when the connection is lost and when it is back. Hands on what the subscriber asks of its
 * connections.
 */
final class SubscriptionObserver implements SubscriptionTransport {
    private static final System.Logger LOG = System.getLogger(SubscriptionObserver.class.getName());

    private final Transport transport;
    private final SubscriptionTransport connections;
    private final ControlMetrics figures;
    private final LogOnce lostLine = new LogOnce();
    private Revision lastRefused = Revision.NONE;
    private int server;
    private boolean connected;
    private boolean toldLost = true;

    SubscriptionObserver(
            Transport transport, SubscriptionTransport connections, ControlMetrics figures) {
        this.transport = transport;
        this.connections = connections;
        this.figures = figures;
    }

    /** Something of the open subscription was heard. */
    void heard() {
        if (!connected) {
            connected(true);
            if (toldLost) {
                LOG.log(System.Logger.Level.INFO, "follows control at its server " + server);
                toldLost = false;
            }
        }
    }

    /** The open subscription has ended. */
    void ended(String reason) {
        connected(false);
        if (lostLine.due(transport.nanoTime())) {
            LOG.log(System.Logger.Level.WARNING, "goes on without control: " + reason);
            toldLost = true;
        }
    }

    private void connected(boolean now) {
        connected = now;
        figures.connected(now);
    }

    @Override
    public void open(int next, SubscribeRequest request) {
        server = next;
        connected(false);
        connections.open(next, request);
    }

    @Override
    public void pauseReading(boolean paused) {
        connections.pauseReading(paused);
    }

    @Override
    public void close() {
        if (connected) {
            ended("server " + server + " was left");
        }
        connections.close();
    }

    @Override
    public void acknowledge(int to, Acknowledgement acknowledgement) {
        if (acknowledgement.status() == Acknowledgement.Status.REJECTED) {
            refused(acknowledgement);
        }
        connections.acknowledge(to, acknowledgement);
    }

    /** A refusal is told again at each new connection, but counts once. */
    private void refused(Acknowledgement refusal) {
        if (!refusal.refused().equals(lastRefused)) {
            lastRefused = refusal.refused();
            figures.refused();
            LOG.log(
                    System.Logger.Level.WARNING,
                    "refused revision "
                            + refusal.refused()
                            + " and keeps "
                            + refusal.inForce()
                            + ": "
                            + refusal.place()
                            + ": "
                            + refusal.reason());
        }
    }
}
