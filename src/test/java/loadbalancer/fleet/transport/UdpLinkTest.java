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

class UdpLinkTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> got = new LinkedBlockingQueue<>();

    private UdpLink open() throws InterruptedException {
        UdpLink link =
                new UdpLink(
                        UdpLink::socket,
                        1_201,
                        (bytes, from) -> got.add(bytes.length + " " + from));
        link.open(loop, ANY).sync();
        return link;
    }

    @AfterEach
    void close() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    @Test
    void whatIsSentArrivesWithItsSenderAndNeverMoreThanIsRead() throws Exception {
        UdpLink a = open();
        UdpLink b = open();
        String to = "127.0.0.1:" + b.address().getPort();
        String from = " 127.0.0.1:" + a.address().getPort();
        for (int length : new int[] {1, 1_200, 9_000}) {
            loop.submit(() -> a.send(to, new byte[length])).sync();
            assertEquals(Math.min(1_201, length) + from, got.poll(60, TimeUnit.SECONDS));
        }
    }

    @Test
    void whatCanNotBeSentIsCountedAndTheLinkGoesOn() throws Exception {
        UdpLink a = open();
        UdpLink b = open();
        for (String bad :
                new String[] {
                    "localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "", "::1:5"
                }) {
            loop.submit(() -> a.send(bad, new byte[1])).sync();
        }
        assertEquals(6, a.failures());
        loop.submit(() -> a.send("127.0.0.1:" + b.address().getPort(), new byte[7])).sync();
        assertNotNull(got.poll(60, TimeUnit.SECONDS));
        loop.submit(() -> a.send("127.0.0.1:" + b.address().getPort(), new byte[70_000])).sync();
        loop.submit(() -> {}).sync();
        assertEquals(7, a.failures());
    }
}
