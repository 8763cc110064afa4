package loadbalancer.faults.process.program;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What the rig has started ends with it, however it ends. */
class ReaperTest {
    private static final int PATIENCE_S = 30;

    private static Process sleeper(String seconds) throws Exception {
        return new ProcessBuilder("sleep", seconds).start();
    }

    @Test
    void childrenEndOnceThePipeOfTheRigEnds() throws Exception {
        // Another JVM stands for the rig, so that it can be killed as nobody cleans up after.
        Process rig =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Doomed.class.getName())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        try (var out = rig.inputReader()) {
            ProcessHandle child = ProcessHandle.of(Long.parseLong(out.readLine())).orElseThrow();
            rig.destroyForcibly();
            child.onExit().get(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    /** Starts a child, tells its number, and waits to be killed. */
    static final class Doomed {
        public static void main(String[] args) throws Exception {
            Process child = sleeper("611");
            Reaper reaper = new Reaper("611");
            reaper.add(child.toHandle());
            System.out.println(child.pid());
            Thread.sleep(TimeUnit.SECONDS.toMillis(PATIENCE_S));
        }
    }

    @Test
    void orderlyEndKillsWhatIsLeftAndNobodyElse() throws Exception {
        Process own = sleeper("612");
        Process other = sleeper("613");
        Reaper reaper = new Reaper("612");
        reaper.add(own.toHandle());
        reaper.close();
        assertTrue(own.waitFor(PATIENCE_S, TimeUnit.SECONDS));
        assertTrue(other.isAlive());
        other.destroyForcibly();
    }
}
