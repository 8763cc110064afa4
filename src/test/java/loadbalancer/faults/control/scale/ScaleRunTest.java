package loadbalancer.faults.control.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real processes: a writer, three followers and two processes of five subscribers. */
class ScaleRunTest {
    private static final long DEADLINE_SECONDS = 60;

    @TempDir private Path folder;

    @Test
    void allHoldTheSameAfterChangesAndTheLossOfAFollower() throws Exception {
        ScaleProgram program = ScaleProgram.ofClassPath(System.getProperty("java.class.path"));
        StateSize size = new StateSize(5, 20, 20, 100);
        ScaleOptions.Limits limits = new ScaleOptions.Limits(64, 128, 5, DEADLINE_SECONDS);
        ScaleOptions options =
                new ScaleOptions(
                        program,
                        folder,
                        10,
                        size,
                        0,
                        10,
                        20,
                        1,
                        1,
                        FaultScript.Extent.ONE_FOLLOWER,
                        0.4,
                        limits);
        ScaleResult result = ScaleRun.run(options);
        assertEquals(List.of(), result.violations());
        assertTrue(
                result.measurements().stream()
                        .map(Measurement::name)
                        .collect(Collectors.toSet())
                        .containsAll(
                                List.of(
                                        "acceptance_to_last_in_force_worst",
                                        "recovery_follower_back")));
        assertEquals(List.of(), ownProcesses());
    }

    private static List<Long> ownProcesses() {
        return ProcessHandle.current()
                .descendants()
                .filter(child -> child.info().commandLine().orElse("").contains(ScaleProgram.MARK))
                .map(ProcessHandle::pid)
                .toList();
    }
}
