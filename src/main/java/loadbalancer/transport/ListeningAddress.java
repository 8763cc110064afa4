package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.util.function.Consumer;

/** The clients' address. It can be given up without losing those who wait there to be accepted. */
public interface ListeningAddress extends ServerChannel {
    /** Accepts all that waits and closes right behind the last one. */
    void closeBehindTheLast(Consumer<Channel> accepted);
}
