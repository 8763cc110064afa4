package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A periodic task must continue after it has failed. */
class RepeatingTaskTest {
    private int runs;

    @Test
    void runsFailingTaskAgainUntilCancelled() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        var task =
                RepeatingTask.every(
                        channel.eventLoop(),
                        100,
                        "failing task",
                        () -> {
                            runs++;
                            throw new IllegalStateException("intended failure");
                        });
        for (int i = 1; i <= 3; i++) {
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            assertEquals(i, runs);
        }
        task.cancel(false);
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(3, runs);
    }
}
