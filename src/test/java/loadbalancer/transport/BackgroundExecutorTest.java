package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;

/** The event loop must be notified exactly once, whether work succeeds, fails or is rejected. */
class BackgroundExecutorTest {
    private static final Executor DIRECT = Runnable::run;
    private final List<String> notified = new ArrayList<>();

    private void call(Executor executor, Callable<String> work) {
        BackgroundExecutor.call(
                executor,
                DIRECT,
                work,
                notified::add,
                failure -> notified.add("failed: " + failure.getMessage()));
    }

    @Test
    void notifiesResultOnce() {
        call(DIRECT, () -> "done");
        assertEquals(List.of("done"), notified);
    }

    @Test
    void notifiesAnyThrowableAsFailure() {
        call(
                DIRECT,
                () -> {
                    throw new IOException("checked");
                });
        call(
                DIRECT,
                () -> {
                    throw new IllegalStateException("unchecked");
                });
        call(
                DIRECT,
                () -> {
                    throw new StackOverflowError("error");
                });
        assertEquals(List.of("failed: checked", "failed: unchecked", "failed: error"), notified);
    }

    @Test
    void notifiesRejectedWorkAsFailure() {
        call(
                work -> {
                    throw new RejectedExecutionException("stopping");
                },
                () -> "done");
        assertEquals(List.of("failed: stopping"), notified);
    }

    @Test
    void notifiesSuccessOrFailureOfWorkWithoutResult() {
        runWithoutResult(() -> notified.add("worked"));
        runWithoutResult(
                () -> {
                    throw new IOException("checked");
                });
        assertEquals(List.of("worked", "succeeded", "failed: checked"), notified);
    }

    private void runWithoutResult(BackgroundExecutor.Action work) {
        BackgroundExecutor.run(
                DIRECT,
                DIRECT,
                work,
                () -> notified.add("succeeded"),
                failure -> notified.add("failed: " + failure.getMessage()));
    }
}
