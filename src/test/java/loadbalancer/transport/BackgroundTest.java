package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;

/** However work elsewhere ends, the loop hears of it once. */
class BackgroundTest {
    private static final Executor HERE = Runnable::run;
    private final List<String> heard = new ArrayList<>();

    private void run(Executor executor, Callable<String> work) {
        BackgroundExecutor.run(
                executor,
                HERE,
                work,
                heard::add,
                failure -> heard.add("failed: " + failure.getMessage()));
    }

    @Test
    void workThatEnds() {
        run(HERE, () -> "done");
        assertEquals(List.of("done"), heard);
    }

    @Test
    void workThatFailsInAnyWay() {
        run(
                HERE,
                () -> {
                    throw new IOException("checked");
                });
        run(
                HERE,
                () -> {
                    throw new IllegalStateException("unchecked");
                });
        run(
                HERE,
                () -> {
                    throw new StackOverflowError("error");
                });
        assertEquals(List.of("failed: checked", "failed: unchecked", "failed: error"), heard);
    }

    @Test
    void workThatIsNotTaken() {
        run(
                work -> {
                    throw new RejectedExecutionException("stopping");
                },
                () -> "done");
        assertEquals(List.of("failed: stopping"), heard);
    }
}
