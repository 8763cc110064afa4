package loadbalancer.http1.control;

import io.netty.handler.codec.http.QueryStringEncoder;
import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.transport.Transport;

/**
 * Manages the connections of one subscriber to the control servers: one for its subscription, one
 * for acknowledgements, and one for reports if the subscriber is itself a control server. Used on
 * the event loop only.
 */
public final class ControlClient implements SubscriptionTransport {
    private final Transport transport;
    private final List<InetSocketAddress> servers;
    private final NewestMessageSender acknowledgements;
    private final NewestMessageSender reports;
    private SubscriptionEvents events;
    private SubscriptionCall subscription;

    /** Creates a client of the given servers, which calls refer to by their index in the list. */
    public ControlClient(Transport transport, List<InetSocketAddress> servers) {
        this.transport = transport;
        this.servers = List.copyOf(servers);
        this.acknowledgements =
                new NewestMessageSender(transport, ControlProtocol.ACKNOWLEDGEMENT_PATH);
        this.reports = new NewestMessageSender(transport, ControlProtocol.REPORT_PATH);
    }

    /** Sets the receiver of subscription events; call it before opening a subscription. */
    public void listen(SubscriptionEvents listener) {
        events = listener;
    }

    @Override
    public void open(int server, SubscribeRequest request) {
        close();
        subscription = SubscriptionCall.open(transport, servers.get(server), uri(request), events);
    }

    @Override
    public void close() {
        if (subscription != null) {
            subscription.cancel();
            subscription = null;
        }
    }

    @Override
    public void pauseReading(boolean paused) {
        if (subscription != null) {
            subscription.pauseReading(paused);
        }
    }

    @Override
    public void acknowledge(int server, Acknowledgement acknowledgement) {
        acknowledgements.send(servers.get(server), ResourceCodec.encode(acknowledgement));
    }

    /**
     * Sends a report on this control server's subscribers to another server; it is lost if that
     * server can't be reached.
     */
    public void report(int server, ControlServerReport report) {
        reports.send(servers.get(server), MessageCodec.encode(report));
    }

    /** Closes all connections. */
    public void shutDown() {
        close();
        acknowledgements.close();
        reports.close();
    }

    private static String uri(SubscribeRequest request) {
        QueryStringEncoder query = new QueryStringEncoder(ControlProtocol.SUBSCRIPTION_PATH);
        query.addParam(ControlProtocol.FOLLOW_PARAMETER, "1");
        query.addParam(ControlProtocol.NAME_PARAMETER, request.subscriber());
        query.addParam(ControlProtocol.ZONE_PARAMETER, request.zone());
        if (!request.scope().isAll()) {
            query.addParam(
                    ControlProtocol.SERVICES_PARAMETER,
                    String.join(",", request.scope().services()));
        }
        query.addParam(ControlProtocol.REVISION_PARAMETER, request.revision().toString());
        query.addParam(ControlProtocol.DIGEST_PARAMETER, request.digest().toString());
        return query.toString();
    }
}
