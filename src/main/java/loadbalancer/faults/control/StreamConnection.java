package loadbalancer.faults.control;

/** A connection of a client's host to a server's host: two flows of messages, each in order. */
final class StreamConnection {
    private final StreamNetwork network;
    private final VirtualHost client;
    private final VirtualHost server;
    private final StreamFlow toServer;
    private final StreamFlow toClient;

    /** Hears the end of the connection on its side. */
    interface EndListener {
        /** The connection has ended; called once at most. */
        void ended(String reason);
    }

    StreamConnection(
            StreamNetwork network,
            VirtualHost client,
            VirtualHost server,
            EndListener clientEnd,
            EndListener serverEnd) {
        this.network = network;
        this.client = client;
        this.server = server;
        this.toServer = new StreamFlow(network, client, server, serverEnd, this::removeIfDone);
        this.toClient = new StreamFlow(network, server, client, clientEnd, this::removeIfDone);
        network.add(this);
    }

    StreamFlow toServer() {
        return toServer;
    }

    StreamFlow toClient() {
        return toClient;
    }

    boolean touches(VirtualHost host) {
        return host == client || host == server;
    }

    /** Delivers what may pass now. */
    void deliver() {
        toServer.deliver();
        toClient.deliver();
    }

    /** The client closes: it hears nothing more, the server hears the end behind what was sent. */
    void closeByClient() {
        toClient.abandon();
        toServer.end("closed by the client");
    }

    /** The server closes: it hears nothing more, the client hears the end behind what was sent. */
    void closeByServer(String reason) {
        toServer.abandon();
        toClient.end(reason);
    }

    private void removeIfDone() {
        if (toServer.isDone() && toClient.isDone()) {
            network.remove(this);
        }
    }

    /** One side is dead: what it sent and has not arrived is lost. */
    void breakOff(VirtualHost dead) {
        StreamFlow toOther = dead == client ? toServer : toClient;
        StreamFlow toDead = dead == client ? toClient : toServer;
        toDead.abandon();
        toOther.reset("connection reset");
    }

    /** Both sides are told that the connection is lost. */
    void lose() {
        toServer.reset("connection lost");
        toClient.reset("connection lost");
    }
}
