package yewyoke.faults.control.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import yewyoke.faults.process.program.Reaper;

/** The control machines of a run, the writer first; each keeps its address and its folder over restarts. */
final class ControlCluster implements AutoCloseable {
    private static final int FOLLOWERS = 3;
    private static final int FIRST_HOST = 1;

    private final ScaleOptions options;
    private final Reaper reaper;
    private final Deadline deadline;
    private final List<Machine> machines = new ArrayList<>();

    /** One machine: where it is, and its process. */
    private static final class Machine {
        private final String name;
        private final InetSocketAddress address;
        private final Path file;
        private ManagedProcess process;
        private int lives;

        Machine(String name, InetSocketAddress address, Path file) {
            this.name = name;
            this.address = address;
            this.file = file;
        }
    }

    /** Writes the files and starts nothing. */
    ControlCluster(ScaleOptions options, LocalAddresses addresses, Reaper reaper, Deadline deadline)
            throws IOException {
        this.options = options;
        this.reaper = reaper;
        this.deadline = deadline;
        InetSocketAddress writer = addresses.free(FIRST_HOST);
        machines.add(machine("writer", writer, null));
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            InetSocketAddress address = addresses.free(FIRST_HOST + 1 + follower);
            machines.add(machine("follower-" + follower, address, writer));
        }
    }

    private Machine machine(String name, InetSocketAddress address, InetSocketAddress follows)
            throws IOException {
        Path folder = Files.createDirectories(options.folder().resolve(name));
        Path file = options.folder().resolve(name + ".toml");
        Files.writeString(file, ControlFileText.of(name, address, folder, follows));
        return new Machine(name, address, file);
    }

    InetSocketAddress writer() {
        return machines.get(0).address;
    }

    /** Where subscribers are served. */
    List<InetSocketAddress> followers() {
        return machines.subList(1, machines.size()).stream().map(machine -> machine.address).toList();
    }

    void startWriter() {
        start(0);
    }

    void startFollowers() {
        for (int machine = 1; machine < machines.size(); machine++) {
            start(machine);
        }
    }

    private void start(int number) {
        Machine machine = machines.get(number);
        Path log = options.folder().resolve(machine.name + "." + machine.lives++ + ".log");
        machine.process = new ManagedProcess(machine.name,
                options.program().control(options.limits().controlHeapMegabytes(), machine.file), log, reaper);
        deadline.await(machine.name + " served", () -> isServing(machine));
    }

    private static boolean isServing(Machine machine) {
        if (!machine.process.isAlive()) {
            throw new ScaleFailure(machine.name + " ended: "
                    + machine.process.loggedLine("").orElse("nothing in its log"));
        }
        return machine.process.loggedLine("control serving at").isPresent();
    }

    void killFollower(int follower) {
        machines.get(1 + follower).process.kill();
    }

    void startFollower(int follower) {
        start(1 + follower);
    }

    void stopFollower(int follower) {
        machines.get(1 + follower).process.signal("STOP");
    }

    void wakeFollower(int follower) {
        machines.get(1 + follower).process.signal("CONT");
    }

    void killAll() {
        machines.forEach(machine -> machine.process.kill());
    }

    void startAll() {
        startWriter();
        startFollowers();
    }

    ProcessFigures writerFigures() {
        return ProcessFigures.of(machines.get(0).process.pid());
    }

    /** Of each follower. */
    List<ProcessFigures> followerFigures() {
        return machines.subList(1, machines.size()).stream()
                .map(machine -> ProcessFigures.of(machine.process.pid())).toList();
    }

    @Override public void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.close();
            }
        }
    }
}
