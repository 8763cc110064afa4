package loadbalancer.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.control.ControlApiClient;
import loadbalancer.transport.MillisecondIoHandler;
import loadbalancer.transport.SocketTransport;

/**
 * Client for calls to a control server, with its own event loop. For the thread of the command
 * line; {@link #close} releases the connection and the event loop.
 */
final class ControlServerCalls implements AutoCloseable {
    private final EventLoopGroup group;
    private final ControlApiClient call;

    ControlServerCalls(InetSocketAddress server) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory());
        call = new ControlApiClient(new SocketTransport(group.next()), server);
    }

    ControlApiClient call() {
        return call;
    }

    @Override
    public void close() {
        call.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
