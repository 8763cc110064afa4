package loadbalancer.node.control.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Threads for work that would block a loop. */
final class BackgroundThreads {
    private static final long SHUTDOWN_SECONDS = 10;

    private BackgroundThreads() {}

    /** One daemon thread of that name. */
    static ExecutorService single(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Waits until all submitted tasks have ended, at most ten seconds. */
    static void finish(ExecutorService executor) {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
