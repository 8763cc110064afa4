package loadbalancer.http1.control;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;

/** Provides an event loop with loopback sockets and closes everything opened on it after a test. */
abstract class LoopbackFixture {
    static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Transport transport = new SocketTransport(group.next());
    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    <T extends AutoCloseable> T open(T closeable) {
        opened.add(closeable);
        return closeable;
    }

    Sockets.Client client(InetSocketAddress server) throws IOException {
        return open(new Sockets.Client(server));
    }

    <T> T onLoop(Callable<T> body) throws Exception {
        return transport.loop().submit(body).get(Sockets.PATIENCE_S, TimeUnit.SECONDS);
    }
}
