package yewyoke.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;

/** One event loop with its time, its channels and its chance. Nothing beside these comes from outside. */
public interface Transport {
    /** All that uses this lives on this loop; its timers go by {@link #nanoTime}. */
    EventLoop loop();

    /** A clock that only advances, in nanoseconds from no particular moment. */
    long nanoTime();

    /** Unix time in milliseconds; it may step. */
    long wallMillis();

    /** For what must not happen in step with others. */
    RandomGenerator random();

    /** A channel for a connection to be made, not registered yet. */
    Channel outgoing();

    /** A channel for an address to be listened at, not registered yet. */
    Listening listening();
}
