package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.Transport;

/**
 * Replaces real time, files and policies of a serving process, for tests and tools. In service
 * there is none, and no setting brings one in: only a main class that hands it over does.
 */
public interface Environment {
    /** Time and channels of the loop that serves. */
    Transport transport(EventLoop loop);

    /** Storage of the state folder. */
    Storage storage(Path folder);

    /** Makes the policies. */
    LoadBalancerFactory policies();
}
