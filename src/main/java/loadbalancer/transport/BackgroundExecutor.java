package loadbalancer.transport;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/**
 * Runs blocking work outside the event loop and notifies the event loop of the end exactly once,
 * even if the executor rejects the work. Thread-safe.
 */
public final class BackgroundExecutor {
    private BackgroundExecutor() {}

    /** A unit of work without a result. */
    @FunctionalInterface
    public interface Action {
        /**
         * Does the work.
         *
         * @throws Exception if it fails
         */
        void run() throws Exception;
    }

    /**
     * Runs work without a result.
     *
     * @param executor runs the work
     * @param loop runs one of the two callbacks
     * @param onSuccess called after the work has succeeded
     * @param onFailure called with the throwable of the work or of the executor
     */
    public static void run(
            Executor executor,
            Executor loop,
            Action work,
            Runnable onSuccess,
            Consumer<Throwable> onFailure) {
        call(
                executor,
                loop,
                () -> {
                    work.run();
                    return null;
                },
                nothing -> onSuccess.run(),
                onFailure);
    }

    /**
     * Runs work with a result.
     *
     * @param executor runs the work
     * @param loop runs one of the two callbacks
     * @param onSuccess called with the result
     * @param onFailure called with the throwable of the work or of the executor
     */
    public static <T> void call(
            Executor executor,
            Executor loop,
            Callable<T> work,
            Consumer<T> onSuccess,
            Consumer<Throwable> onFailure) {
        try {
            executor.execute(() -> callAndNotify(loop, work, onSuccess, onFailure));
        } catch (RejectedExecutionException e) {
            loop.execute(() -> onFailure.accept(e));
        }
    }

    private static <T> void callAndNotify(
            Executor loop, Callable<T> work, Consumer<T> onSuccess, Consumer<Throwable> onFailure) {
        T result;
        try {
            result = work.call();
        } catch (Exception | Error e) {
            loop.execute(() -> onFailure.accept(e));
            return;
        }
        loop.execute(() -> onSuccess.accept(result));
    }
}
