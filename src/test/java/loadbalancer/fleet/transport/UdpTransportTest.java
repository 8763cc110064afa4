package loadbalancer.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the transport with real sockets on the loopback interface. */
class UdpTransportTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    private UdpTransport open() throws InterruptedException {
        UdpTransport transport =
                new UdpTransport(
                        UdpTransport::createChannel,
                        1_201,
                        (bytes, from) -> received.add(bytes.length + " " + from));
        transport.open(loop, ANY).sync();
        return transport;
    }

    @AfterEach
    void close() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    @Test
    void datagramArrivesWithItsSenderAndIsTruncatedToTheReadLength() throws Exception {
        UdpTransport first = open();
        UdpTransport second = open();
        String to = "127.0.0.1:" + second.localAddress().getPort();
        String from = " 127.0.0.1:" + first.localAddress().getPort();
        for (int length : new int[] {1, 1_200, 9_000}) {
            loop.submit(() -> first.send(to, new byte[length])).sync();
            assertEquals(Math.min(1_201, length) + from, received.poll(60, TimeUnit.SECONDS));
        }
    }

    @Test
    void failedSendsAreCountedAndLaterOnesSucceed() throws Exception {
        UdpTransport first = open();
        UdpTransport second = open();
        for (String bad :
                new String[] {
                    "localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "", "::1:5"
                }) {
            loop.submit(() -> first.send(bad, new byte[1])).sync();
        }
        assertEquals(6, first.failureCount());
        loop.submit(() -> first.send("127.0.0.1:" + second.localAddress().getPort(), new byte[7]))
                .sync();
        assertNotNull(received.poll(60, TimeUnit.SECONDS));
        loop.submit(
                        () ->
                                first.send(
                                        "127.0.0.1:" + second.localAddress().getPort(),
                                        new byte[70_000]))
                .sync();
        loop.submit(() -> {}).sync();
        assertEquals(7, first.failureCount());
    }
}
