package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.Transport;

/**
 * Replaces the clocks, sockets, files and policies of a serving process in tests and tools. A
 * balancer in production uses none, and no setting enables one: a main class has to pass it to
 * {@link Main#serve}.
 */
public interface Environment {
    /** Returns the clocks and channels of the event loop that serves requests. */
    Transport transport(EventLoop loop);

    /** Returns the storage that takes the place of the state folder. */
    Storage storage(Path folder);

    /** Returns the factory of the load balancing policies. */
    LoadBalancerFactory loadBalancers();
}
