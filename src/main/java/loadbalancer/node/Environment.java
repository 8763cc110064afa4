package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.Transport;

/**
 * What a serving process gets in place of real time, files and decisions. In service there is none,
 * and nothing that an operator can set brings one in: only a main class that hands it over does.
 */
public interface Environment {
    /** Time and channels of the loop that serves. */
    Transport transport(EventLoop loop);

    /** The folder for what is known. */
    Storage disk(Path folder);

    /** Where decisions come from. */
    LoadBalancerFactory modules();
}
