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
 * The connections of one subscriber: one for its subscription, one for acknowledgements, and at a
 * control machine one for reports. All of it runs on the transport's loop.
 */
public final class ControlClient implements SubscriptionTransport {
    private final Transport transport;
    private final List<InetSocketAddress> servers;
    private final NewestMessageSender acknowledgements;
    private final NewestMessageSender reports;
    private SubscriptionEvents events;
    private SubscriptionCall subscription;

    /** To those servers, which are named by their index in the list. */
    public ControlClient(Transport transport, List<InetSocketAddress> servers) {
        this.transport = transport;
        this.servers = List.copyOf(servers);
        this.acknowledgements =
                new NewestMessageSender(transport, ControlProtocol.ACKNOWLEDGEMENT_PATH);
        this.reports = new NewestMessageSender(transport, ControlProtocol.REPORT_PATH);
    }

    /** Sets the receiver of the subscriptions' events; before the first one is opened. */
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
     * Sends a server the status of this machine's subscribers; lost if the server can't be reached.
     */
    public void report(int server, MachineReport report) {
        reports.send(servers.get(server), MessageCodec.encode(report));
    }

    /** Ends all connections. */
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
