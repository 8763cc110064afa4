package loadbalancer.faults.process.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.topology.Topology;

/** One control machine: its folder, and the process that serves for it. */
public final class ControlInstance implements AutoCloseable {
    private static final long LOOK_MS = 20;
    private static final int CONNECT_MS = 1_000;

    private final String name;
    private final InetSocketAddress address;
    private final List<String> command;
    private final Path log;
    private final Reaper reaper;
    private Process process;

    private ControlInstance(
            String name,
            InetSocketAddress address,
            Program program,
            Path file,
            Path log,
            Reaper reaper) {
        this.name = name;
        this.address = address;
        this.command = program.tool("control", "serve", file.toString());
        this.log = log;
        this.reaper = reaper;
    }

    /** The one that takes changes; starts nothing. */
    public static ControlInstance writer(
            InetSocketAddress address, Program program, Path folder, Reaper reaper)
            throws IOException {
        return of("writer", "", address, program, folder, reaper);
    }

    /** One that follows the writer; starts nothing. */
    public static ControlInstance follower(
            InetSocketAddress address,
            InetSocketAddress writer,
            Program program,
            Path folder,
            Reaper reaper)
            throws IOException {
        return of(
                "follower",
                "follow = [\"" + Topology.text(writer) + "\"]\n",
                address,
                program,
                folder,
                reaper);
    }

    private static ControlInstance of(
            String role,
            String more,
            InetSocketAddress address,
            Program program,
            Path folder,
            Reaper reaper)
            throws IOException {
        Path own = Files.createDirectories(folder.resolve(role));
        Path file =
                Files.writeString(
                        own.resolve("control.toml"),
                        "role = \""
                                + role
                                + "\"\nname = \""
                                + role
                                + "\"\nlisten = \""
                                + Topology.text(address)
                                + "\"\nfolder = \""
                                + own.resolve("log")
                                + "\"\n"
                                + more);
        return new ControlInstance(
                role, address, program, file, own.resolve("process.log"), reaper);
    }

    /** Where it serves. */
    public InetSocketAddress address() {
        return address;
    }

    /** Starts its process and waits until that lets connections in. */
    public void start() {
        try {
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
        } catch (IOException e) {
            throw new RigFailure("can't start " + name, e);
        }
        reaper.add(process.toHandle());
        for (long waited = 0; waited < Child.PATIENCE_S * 1_000; waited += LOOK_MS) {
            if (accepts()) {
                return;
            }
            if (!process.isAlive()) {
                throw new RigFailure(
                        name + " ended with code " + process.exitValue() + ", see " + log);
            }
            BalancerInstance.pause(LOOK_MS);
        }
        throw new RigFailure(name + " lets nobody in, see " + log);
    }

    private boolean accepts() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends its process at once. */
    public void kill() {
        process.destroyForcibly();
        try {
            if (!process.waitFor(Child.PATIENCE_S, TimeUnit.SECONDS)) {
                throw new RigFailure(name + " can't be killed");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RigFailure("interrupted while killing " + name, e);
        }
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            kill();
        }
    }
}
