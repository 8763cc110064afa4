package loadbalancer.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.logging.FailureLogFilter;

/**
 * A periodic task that continues after a failure, whereas the event loop itself would cancel it. It
 * runs on its event loop until the returned future is cancelled.
 */
public final class RepeatingTask {
    private static final System.Logger LOG = System.getLogger(RepeatingTask.class.getName());

    private final String name;
    private final Runnable task;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    private RepeatingTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Runs a task with a fixed delay before each run, until the returned future is cancelled.
     *
     * @param name name of the task in the log
     */
    public static ScheduledFuture<?> every(
            EventLoop loop, long delayMillis, String name, Runnable task) {
        return loop.scheduleWithFixedDelay(
                new RepeatingTask(name, task)::run,
                delayMillis,
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void run() {
        try {
            task.run();
            failureLog.recordSuccess();
        } catch (RuntimeException e) {
            if (failureLog.shouldLogFailure()) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "periodic task failed and will run again: " + name,
                        e);
            }
        }
    }
}
