package loadbalancer.faults.process.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RelayTest {
    /** For what must not come: the relay hands on within microseconds. */
    private static final int SILENCE_MS = 150;

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final String ASK = "GET / HTTP/1.1\r\n\r\n";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<AutoCloseable> open = new ArrayList<>();

    private <T extends AutoCloseable> T keep(T next) {
        open.add(next);
        return next;
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static LinkDirection direction(long seed) {
        return new LinkDirection(new SplittableRandom(seed));
    }

    private TcpRelay relay(Server target) {
        String[] at = target.addr().split(":");
        return keep(
                new TcpRelay(
                        group.next(),
                        ANY,
                        new InetSocketAddress(at[0], Integer.parseInt(at[1])),
                        direction(1),
                        direction(2)));
    }

    private Server echo() throws IOException {
        return keep(new Server((m, s) -> Sockets.answer(s, "200 OK", "", m.start())));
    }

    @Test
    void bytesAndEndsPassInBothDirections() throws Exception {
        Server server = echo();
        Client client = keep(new Client(relay(server).address()));
        assertEquals("GET / HTTP/1.1", client.write(ASK).read().body());
        String large = "x".repeat(3_000_000);
        client.write("POST / HTTP/1.1\r\nContent-Length: " + large.length() + "\r\n\r\n" + large);
        assertEquals(200, client.read().status());
        assertEquals(large, server.requests.stream().reduce((a, b) -> b).orElseThrow().body());
        client.socket.shutdownOutput();
        assertNull(client.read());
        assertEquals(0, Sockets.next(server.ended));
    }

    @Test
    void whatIsHeldComesInOrderOnceItMay() throws Exception {
        TcpRelay relay = relay(echo());
        Client client = keep(new Client(relay.address(), SILENCE_MS));
        relay.back().conditions(LinkConditions.CUT);
        client.write(ASK);
        assertThrows(SocketTimeoutException.class, client::read);
        client.socket.setSoTimeout(Sockets.PATIENCE_S * 1_000);
        relay.clear();
        assertEquals(200, client.read().status());
        relay.out().conditions(LinkConditions.slow(5, 20));
        for (int i = 0; i < 5; i++) {
            client.write("GET /" + i + " HTTP/1.1\r\n\r\n");
        }
        for (int i = 0; i < 5; i++) {
            assertEquals("GET /" + i + " HTTP/1.1", client.read().body());
        }
    }

    @Test
    void whatWasCutIsResetWhenTheWayIsBack() throws Exception {
        Server server = echo();
        TcpRelay relay = relay(server);
        Client client = keep(new Client(relay.address(), SILENCE_MS));
        relay.cut(true, false);
        client.write(ASK);
        assertThrows(SocketTimeoutException.class, client::read);
        client.socket.setSoTimeout(Sockets.PATIENCE_S * 1_000);
        relay.heal();
        assertThrows(SocketException.class, client::read);
        assertTrue(server.requests.isEmpty(), "what was cut off never arrives");
        assertEquals(200, keep(new Client(relay.address())).write(ASK).read().status());
    }

    @Test
    void refusalsAndResetsPassOn() throws Exception {
        Server server = echo();
        TcpRelay relay = relay(server);
        InetSocketAddress at = relay.address();
        Client client = keep(new Client(at));
        client.write(ASK).read();
        Sockets.reset(client.socket);
        assertEquals(0, Sockets.next(server.ended));
        relay.refuse();
        assertThrows(IOException.class, () -> new Client(at));
        server.close();
        relay.open();
        assertThrows(
                IOException.class,
                () -> {
                    if (keep(new Client(relay.address())).write(ASK).read() == null) {
                        throw new IOException("closed");
                    }
                });
    }

    @Test
    void chancesOfDatagramsAreDrawnFromTheSeed() {
        LinkDirection direction = direction(7);
        byte[] sent = "a datagram".getBytes(StandardCharsets.US_ASCII);
        assertEquals(1, direction.datagram(sent).size());
        assertArrayEquals(sent, direction.datagram(sent).get(0).bytes());
        direction.conditions(new LinkConditions(10, 5, 0.25, 0.25, 0.25, 0.25, false));
        int lost = 0;
        int twice = 0;
        int late = 0;
        int spoilt = 0;
        for (int i = 0; i < 4_000; i++) {
            List<LinkDirection.Copy> copies = direction.datagram(sent);
            lost += copies.isEmpty() ? 1 : 0;
            twice += copies.size() == 2 ? 1 : 0;
            if (!copies.isEmpty()) {
                assertTrue(copies.get(0).afterMs() >= 10);
                late += copies.get(0).afterMs() > 15 ? 1 : 0;
                spoilt += Arrays.equals(sent, copies.get(0).bytes()) ? 0 : 1;
            }
        }
        assertEquals(1_000, lost, 150);
        assertEquals(750, twice, 150);
        assertEquals(750, late, 150);
        assertEquals(750, spoilt, 150);
        direction.conditions(LinkConditions.CUT);
        assertTrue(direction.datagram(sent).isEmpty());
    }

    @Test
    void eachOrderedPairOfMembersHasALaneOfItsOwnBehindOneAddress() throws Exception {
        List<DatagramSocket> members = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            DatagramSocket socket = keep(new DatagramSocket(ANY));
            socket.setSoTimeout(Sockets.PATIENCE_S * 1_000);
            members.add(socket);
        }
        UdpSwitch relay =
                keep(
                        new UdpSwitch(
                                group.next(),
                                members.stream()
                                        .map(s -> (InetSocketAddress) s.getLocalSocketAddress())
                                        .toList(),
                                List.of(ANY, ANY, ANY),
                                RelayTest::direction));
        send(members.get(0), relay.front(1), "0 to 1");
        DatagramPacket came = receive(members.get(1));
        assertEquals("0 to 1", text(came));
        assertEquals(relay.front(0), came.getSocketAddress(), "who answers goes by the relay, too");
        relay.direction(0, 1).conditions(LinkConditions.CUT);
        send(members.get(0), relay.front(1), "lost");
        send(members.get(2), relay.front(1), "2 to 1");
        assertEquals("2 to 1", text(receive(members.get(1))));
        send(members.get(1), relay.front(0), "1 to 0");
        assertEquals("1 to 0", text(receive(members.get(0))), "the other direction is open");
        relay.everywhere(LinkConditions.CLEAR);
        relay.split(1, LinkConditions.CUT);
        send(members.get(2), relay.front(0), "lost");
        send(members.get(2), relay.front(1), "same side");
        assertEquals("same side", text(receive(members.get(1))));
        relay.everywhere(LinkConditions.CLEAR);
        send(members.get(2), relay.front(0), "again");
        assertEquals("again", text(receive(members.get(0))));
        try (DatagramSocket stranger = new DatagramSocket(ANY)) {
            send(stranger, relay.front(0), "stranger");
            send(members.get(1), relay.front(0), "after it");
            assertEquals("after it", text(receive(members.get(0))));
        }
        assertEquals(1, relay.strangers());
        assertEquals(6, relay.passed());
    }

    private static void send(DatagramSocket from, InetSocketAddress to, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        at.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
    }
}
