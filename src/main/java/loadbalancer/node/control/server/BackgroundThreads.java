package loadbalancer.node.control.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Creates and ends threads for work that would block an event loop. */
final class BackgroundThreads {
    private static final long SHUTDOWN_SECONDS = 10;

    private BackgroundThreads() {}

    /** Creates an executor that has one daemon thread with the given name. */
    static ExecutorService single(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Accepts no more tasks, and waits at most ten seconds until the submitted ones have ended. */
    static void finish(ExecutorService executor) {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
