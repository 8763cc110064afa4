package loadbalancer.node.control.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Threads for what would block a loop. */
final class BackgroundThreads {
    private static final long FINISH_SECONDS = 10;

    private BackgroundThreads() {}

    /** One thread of that name, which keeps no process alive. */
    static ExecutorService single(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Waits until all that was handed in is done; gives up after some seconds. */
    static void finish(ExecutorService executor) {
        executor.shutdown();
        try {
            executor.awaitTermination(FINISH_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
