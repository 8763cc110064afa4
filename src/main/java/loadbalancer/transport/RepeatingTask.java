package loadbalancer.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A task that is done again and again, also after it has failed: the loop itself would never do it
 * again.
 */
public final class RepeatingTask {
    private static final System.Logger LOG = System.getLogger(RepeatingTask.class.getName());

    private final String name;
    private final Runnable task;
    private boolean hasFailed;

    private RepeatingTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Does it on the loop from now on, with so many milliseconds before each time, until cancelled.
     */
    public static ScheduledFuture<?> every(
            EventLoop loop, long millis, String name, Runnable task) {
        return loop.scheduleWithFixedDelay(
                new RepeatingTask(name, task)::run, millis, millis, TimeUnit.MILLISECONDS);
    }

    private void run() {
        try {
            task.run();
            hasFailed = false;
        } catch (RuntimeException e) {
            if (!hasFailed) {
                LOG.log(System.Logger.Level.ERROR, "failed and goes on: " + name, e);
            }
            hasFailed = true;
        }
    }
}
