package loadbalancer.faults.process.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sees to it that no child outlives the rig. A small process reads the children's numbers from a
 * pipe; when that ends, because the rig has closed it or is no more, however it went, what is left
 * of them is killed. A shutdown hook does the same at an orderly end.
 *
 * <p>What stays possible: the reaper is killed first and the rig after it by SIGKILL; and between a
 * child's end and the word of it a number may be dealt anew, wherefore only a process whose command
 * line has the mark is killed.
 */
public final class Reaper implements AutoCloseable {
    /** Ignores what a terminal sends to all of a group: it must be there to the end. */
    private static final String SCRIPT =
            "trap '' INT TERM HUP; pids=' '; while read -r word pid; do case $word in add)"
                + " pids=\"$pids$pid \";; del) pids=\"${pids%% $pid *} ${pids#* $pid }\";; esac;"
                + " done; for p in $pids; do if grep -q -a -F -e \"$1\" /proc/$p/cmdline"
                + " 2>/dev/null; then kill -KILL $p; fi; done";

    private final Process process;
    private final Set<Long> pids = ConcurrentHashMap.newKeySet();
    private final Thread hook = new Thread(this::killAll);

    /** Only what has the mark in its command line is killed by the process that reads. */
    public Reaper(String mark) throws IOException {
        process =
                new ProcessBuilder("sh", "-c", SCRIPT, "reaper", mark)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Looks after a child from now on. */
    public void add(ProcessHandle child) {
        pids.add(child.pid());
        tell("add " + child.pid());
        child.onExit()
                .thenRun(
                        () -> {
                            if (pids.remove(child.pid())) {
                                tell("del " + child.pid());
                            }
                        });
    }

    private synchronized void tell(String line) {
        try {
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            process.getOutputStream().flush();
        } catch (IOException e) {
            if (process.isAlive()) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** The number of the process that reads. */
    public long pid() {
        return process.pid();
    }

    private void killAll() {
        pids.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
    }

    /** Kills what is left, and waits for the reaper's end. */
    @Override
    public void close() throws IOException {
        killAll();
        process.getOutputStream().close();
        process.onExit().join();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the JVM is going down, and the hook runs by itself
        }
    }
}
