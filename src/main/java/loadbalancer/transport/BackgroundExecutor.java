package loadbalancer.transport;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/** Work that must not hold up the loop, and whose end the loop always hears of. */
public final class BackgroundExecutor {
    private BackgroundExecutor() {}

    /**
     * Does the work on the executor, and then exactly one of the others on the loop, however the
     * work ended, and also where the executor takes no more.
     */
    public static <T> void run(
            Executor executor,
            Executor loop,
            Callable<T> work,
            Consumer<T> done,
            Consumer<Throwable> failed) {
        try {
            executor.execute(
                    () -> {
                        T result;
                        try {
                            result = work.call();
                        } catch (Exception | Error e) {
                            loop.execute(() -> failed.accept(e));
                            return;
                        }
                        loop.execute(() -> done.accept(result));
                    });
        } catch (RejectedExecutionException e) {
            loop.execute(() -> failed.accept(e));
        }
    }
}
