package loadbalancer.transport;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/**
 * Runs blocking work off the event loop and notifies the event loop of its end exactly once, also
 * where the executor rejects the work. Any thread may call; it holds nothing to release.
 */
public final class BackgroundExecutor {
    private BackgroundExecutor() {}

    /** Work without a result. */
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
     * @param executor where the work runs
     * @param loop where one of the two callbacks runs
     * @param onSuccess called after the work has ended
     * @param onFailure called with what the work or the executor threw
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
     * @param executor where the work runs
     * @param loop where one of the two callbacks runs
     * @param onSuccess called with the result
     * @param onFailure called with what the work or the executor threw
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
