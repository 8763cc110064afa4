package loadbalancer.faults.control.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.program.Reaper;

/** A process of a run: its input and output are the driver's, its standard error goes to a log. */
final class ManagedProcess implements AutoCloseable {
    private static final long PATIENCE_SECONDS = 60;

    private final String name;
    private final Path log;
    private final Process process;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    ManagedProcess(String name, List<String> command, Path log, Reaper reaper) {
        this.name = name;
        this.log = log;
        try {
            process = new ProcessBuilder(command).redirectError(log.toFile()).start();
        } catch (IOException e) {
            throw new ScaleFailure("can't start " + name, e);
        }
        reaper.add(process.toHandle());
        Thread reader = new Thread(this::readAnswers, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void readAnswers() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                answers.add(line);
            }
        } catch (IOException e) {
            // the process is gone, and whoever waits for an answer hears that there is none
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Asks on standard input and waits for the line that answers. */
    String ask(String line) {
        try {
            answers.clear();
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            process.getOutputStream().flush();
            String answer = answers.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            if (answer == null) {
                throw new ScaleFailure(name + " has not answered to " + line);
            }
            return answer;
        } catch (IOException e) {
            throw new ScaleFailure("can't ask " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
    }

    /** The first line of the log that contains a text. */
    Optional<String> loggedLine(String text) {
        try {
            return Files.readAllLines(log).stream().filter(line -> line.contains(text)).findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String signal) {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            if (!kill.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0) {
                throw new ScaleFailure("can't send SIG" + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new ScaleFailure("can't send SIG" + signal + " to " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
    }

    /** Ends it at once and waits for the end. */
    void kill() {
        process.destroyForcibly();
        try {
            if (!process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
                throw new ScaleFailure(name + " does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
