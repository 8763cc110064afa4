package yewyoke.node;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import yewyoke.exchange.Modules;
import yewyoke.state.Disk;
import yewyoke.transport.Transport;

/**
 * What a serving process gets in place of real time, files and decisions. In service there is none, and
 * nothing that an operator can set brings one in: only a main class that hands it over does.
 */
public interface Outside {
    /** Time and channels of the loop that serves. */
    Transport transport(EventLoop loop);

    /** The folder for what is known. */
    Disk disk(Path folder);

    /** Where decisions come from. */
    Modules modules();
}
