package loadbalancer.faults;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The event loop of one process in virtual time; it runs when the timeline says so, and nothing
 * wakes it.
 */
final class VirtualLoop extends AbstractScheduledEventExecutor implements EventLoop {
    /** More tasks than that at one instant are a loop without end. */
    private static final int MOST_AT_ONCE = 1_000_000;

    private static final Ticker END_OF_TIME =
            new Ticker() {
                @Override
                public long initialNanoTime() {
                    return 0;
                }

                @Override
                public long nanoTime() {
                    return Long.MAX_VALUE;
                }

                @Override
                public void sleep(long delay, TimeUnit unit) {
                    throw new IllegalStateException("nothing may sleep in virtual time");
                }
            };

    private final Timeline timeline;
    private final Queue<Runnable> tasks = new ArrayDeque<>();

    /** How long the next turn takes; nothing else runs meanwhile. */
    private LongSupplier turn = () -> 0;

    private long busyUntil;
    private boolean dead;
    private boolean atTheEndOfTime;
    private int atOnce;
    private long atOnceTime = -1;

    VirtualLoop(Timeline timeline) {
        this.timeline = timeline;
        timeline.add(this);
    }

    @Override
    public Ticker ticker() {
        return atTheEndOfTime ? END_OF_TIME : timeline;
    }

    /** The process is killed: whatever it was about to do never happens. */
    void kill() {
        dead = true;
        tasks.clear();
        cancelScheduledTasks();
    }

    @Override
    public void execute(Runnable task) {
        if (!dead) {
            tasks.add(task);
        }
    }

    /**
     * From now on each turn in which anything runs takes so many nanoseconds, asked anew for each.
     */
    void turnsTake(LongSupplier nanos) {
        turn = nanos;
    }

    /** When something is to run next, in nanoseconds; {@code Long.MAX_VALUE} for never. */
    long nextDue() {
        long timer = dead ? -1 : nextScheduledTaskDeadlineNanos();
        long due =
                dead || timer < 0 && tasks.isEmpty() ? Long.MAX_VALUE : tasks.isEmpty() ? timer : 0;
        return Math.max(due, busyUntil);
    }

    /** Runs all that is due; whether there was anything. */
    boolean runDue() {
        boolean any = false;
        if (timeline.nanoTime() < busyUntil) {
            return false;
        }
        while (!dead) {
            Runnable task = pollScheduledTask(timeline.nanoTime());
            if (task != null) {
                tasks.add(task);
                continue;
            }
            task = tasks.poll();
            if (task == null) {
                break;
            }
            any = true;
            guard();
            safeExecute(task);
        }
        if (any) {
            busyUntil = timeline.nanoTime() + turn.getAsLong();
        }
        return any;
    }

    private void guard() {
        if (atOnceTime != timeline.nanoTime()) {
            atOnceTime = timeline.nanoTime();
            atOnce = 0;
        }
        if (++atOnce > MOST_AT_ONCE) {
            throw new IllegalStateException("the loop does not come to rest");
        }
    }

    /** How many timers are set; takes them all away. */
    int drainTimers() {
        int timers = 0;
        atTheEndOfTime = true; // nothing may be taken away before it is due
        while (pollScheduledTask(Long.MAX_VALUE) != null) {
            timers++;
        }
        return timers;
    }

    @Override
    public EventLoopGroup parent() {
        return (EventLoopGroup) super.parent();
    }

    @Override
    public EventLoop next() {
        return (EventLoop) super.next();
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return true; // everything in a world is on one thread
    }

    @Override
    public ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Deprecated
    @Override
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        kill();
        return newSucceededFuture(null);
    }

    @Override
    public Future<?> terminationFuture() {
        return newSucceededFuture(null);
    }

    @Deprecated
    @Override
    public void shutdown() {
        kill();
    }

    @Override
    public boolean isShuttingDown() {
        return dead;
    }

    @Override
    public boolean isShutdown() {
        return dead;
    }

    @Override
    public boolean isTerminated() {
        return dead;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return dead;
    }
}
