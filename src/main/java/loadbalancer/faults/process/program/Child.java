package loadbalancer.faults.process.program;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.Broken;
import loadbalancer.faults.process.RigFailure;

/** One running process of the program. */
public final class Child {
    /**
     * Far beyond any start or stop, on the busiest machine; what takes longer is the rig's failure.
     */
    static final long PATIENCE_S = 60;

    private static final long LOOK_MS = 20;

    /** An answer at the operators' door is due within a second; a stopped process gives none. */
    private static final int CALL_MS = 2_000;

    private static final String COUNTED = "app.violations:";

    private final String name;
    private final Process process;
    private final InetSocketAddress operators;

    /** The rig means it to end. */
    private volatile boolean mayEnd;

    private Child(String name, Process process, InetSocketAddress operators) {
        this.name = name;
        this.process = process;
        this.operators = operators;
    }

    /** Starts one in its folder; all that it says goes to the log. */
    public static Child start(
            String name,
            Program program,
            Path odds,
            Map<String, String> environment,
            InetSocketAddress operators,
            Path log,
            Reaper reaper) {
        try {
            ProcessBuilder builder = new ProcessBuilder(program.command(odds));
            builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Process process = builder.start();
            process.getOutputStream().close();
            reaper.add(process.toHandle());
            return new Child(name, process, operators);
        } catch (IOException e) {
            throw new RigFailure("can't start " + name, e);
        }
    }

    /** Its number. */
    public long pid() {
        return process.pid();
    }

    /** Its name in messages. */
    public String name() {
        return name;
    }

    /** Whether it runs, or stands still. */
    public boolean lives() {
        return process.isAlive();
    }

    /** Sends it a signal, by the signal's name without SIG. */
    public void signal(String signal) {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            if (!kill.waitFor(PATIENCE_S, TimeUnit.SECONDS) || kill.exitValue() != 0 && lives()) {
                throw new RigFailure("can't send SIG" + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new RigFailure("can't send SIG" + signal + " to " + name, e);
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /** From now on it may end by itself. */
    public void mayEnd() {
        mayEnd = true;
    }

    /** Ends it at once. */
    public void kill() {
        mayEnd();
        process.destroyForcibly();
        awaitEnd();
    }

    /** Complains if it has ended and nobody meant it to. */
    public void mustLive() {
        if (!mayEnd && !process.isAlive()) {
            throw new Broken(name + " ended by itself with code " + process.exitValue());
        }
    }

    /** Complains of what its own run-time checks have counted. */
    public void mustKeepItsRules() {
        String counted =
                call("STATS").lines().filter(l -> l.startsWith(COUNTED)).findFirst().orElse("");
        if (!counted.isEmpty() && !counted.equals(COUNTED + "0|c")) {
            throw new Broken(
                    name
                            + " counted broken rules: "
                            + call("STATS")
                                    .lines()
                                    .filter(l -> l.contains("violations."))
                                    .toList());
        }
    }

    /** Waits for its end for a time at most, and returns whether it has ended. */
    public boolean endsWithin(long millis) {
        try {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /** Waits for its end, and returns its code. */
    public int awaitEnd() {
        try {
            if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
                throw new RigFailure(name + " has not ended within " + PATIENCE_S + " s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /** Waits until it says at its operators' door that it is ready. */
    public void awaitReady() {
        for (long i = 0; i < PATIENCE_S * 1_000 / LOOK_MS; i++) {
            mustLive();
            if (call("READY").startsWith("SUCCESS")) {
                return;
            }
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                throw interrupted(e);
            }
        }
        throw new RigFailure(
                name
                        + " was not ready within "
                        + PATIENCE_S
                        + " s, and says "
                        + call("READY").strip());
    }

    /** What it says at its operators' door to that line; empty if nothing. */
    public String call(String line) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(CALL_MS);
            socket.connect(operators, CALL_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    private RigFailure interrupted(InterruptedException e) {
        Thread.currentThread().interrupt();
        return new RigFailure("interrupted while waiting for " + name, e);
    }
}
