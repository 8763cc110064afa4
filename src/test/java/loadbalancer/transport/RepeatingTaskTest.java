package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A task that fails is done again. */
class RepeatingTaskTest {
    private int times;

    @Test
    void taskThatFailsIsDoneAgainUntilItIsCancelled() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        var task =
                RepeatingTask.every(
                        channel.eventLoop(),
                        100,
                        "a task that fails",
                        () -> {
                            times++;
                            throw new IllegalStateException("meant to fail");
                        });
        for (int i = 1; i <= 3; i++) {
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            assertEquals(i, times);
        }
        task.cancel(false);
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(3, times);
    }
}
