package loadbalancer.faults.control.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.program.Reaper;

/**
 * The control machines of a run, the writer first; each keeps its address and its folder over
 * restarts.
 */
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
        Path writerFolder = folder("writer");
        machines.add(
                machine(
                        "writer",
                        writer,
                        ControlFileText.ofWriter("writer", writer, writerFolder)));
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            InetSocketAddress address = addresses.free(FIRST_HOST + 1 + follower);
            String name = "follower-" + follower;
            machines.add(
                    machine(
                            name,
                            address,
                            ControlFileText.ofFollower(name, address, folder(name), writer)));
        }
    }

    private Path folder(String name) throws IOException {
        return Files.createDirectories(options.folder().resolve(name));
    }

    private Machine machine(String name, InetSocketAddress address, String text)
            throws IOException {
        return new Machine(
                name, address, Files.writeString(options.folder().resolve(name + ".toml"), text));
    }

    InetSocketAddress writer() {
        return machines.get(0).address;
    }

    /** Where subscribers are served. */
    List<InetSocketAddress> followers() {
        return machines.subList(1, machines.size()).stream()
                .map(machine -> machine.address)
                .toList();
    }

    /** Starts the writer and waits until it serves. */
    void startWriter() {
        launch(0);
        awaitServing(0);
    }

    /** Starts all followers and waits until they serve. */
    void startFollowers() {
        for (int number = 1; number < machines.size(); number++) {
            launch(number);
        }
        for (int number = 1; number < machines.size(); number++) {
            awaitServing(number);
        }
    }

    private void launch(int number) {
        Machine machine = machines.get(number);
        Path log = options.folder().resolve(machine.name + "." + machine.lives++ + ".log");
        List<String> command =
                options.program().control(options.limits().controlHeapMegabytes(), machine.file);
        machine.process = new ManagedProcess(machine.name, command, log, reaper);
    }

    private void awaitServing(int number) {
        Machine machine = machines.get(number);
        deadline.await(machine.name + " served", () -> isServing(machine));
    }

    private static boolean isServing(Machine machine) {
        if (!machine.process.isAlive()) {
            throw new ScaleFailure(
                    machine.name
                            + " ended: "
                            + machine.process.loggedLine("").orElse("nothing in its log"));
        }
        return machine.process.loggedLine("control serving at").isPresent();
    }

    void killFollower(int follower) {
        machines.get(1 + follower).process.kill();
    }

    void startFollower(int follower) {
        launch(1 + follower);
        awaitServing(1 + follower);
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
        for (int number = 0; number < machines.size(); number++) {
            launch(number);
        }
        for (int number = 0; number < machines.size(); number++) {
            awaitServing(number);
        }
    }

    ProcessFigures writerFigures() {
        return ProcessFigures.of(machines.get(0).process.pid());
    }

    /** Of each follower. */
    List<ProcessFigures> followerFigures() {
        return machines.subList(1, machines.size()).stream()
                .map(machine -> ProcessFigures.of(machine.process.pid()))
                .toList();
    }

    @Override
    public void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.close();
            }
        }
    }
}
