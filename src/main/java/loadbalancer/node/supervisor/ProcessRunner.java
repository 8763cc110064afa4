package loadbalancer.node.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Starts, polls and ends the balancer's processes as {@link ProcessSupervisor} decides, and reports
 * readiness and exits to it. Not thread-safe: called from the supervisor's thread, which it may
 * block. Times are microseconds of the monotonic clock.
 */
final class ProcessRunner {
    private static final String RESIDENT_MEMORY_FIELD = "VmRSS:";
    private static final long NANOS_PER_MICRO = 1_000;

    private record RunningProcess(SupervisedProcessRecord record, ProcessHandle handle) {
        /** Returns the description used in log messages. */
        @Override
        public String toString() {
            return "process " + handle.pid() + " of " + record.variant();
        }
    }

    private final SupervisorConfig config;
    private final Consumer<String> log;
    private final Map<Integer, RunningProcess> running = new TreeMap<>();

    ProcessRunner(SupervisorConfig config, Consumer<String> log) {
        this.config = config;
        this.log = log;
    }

    /** Adopts the running processes that an earlier supervisor started. */
    void adoptAll(ProcessSupervisor supervisor, long nowMicros) throws IOException {
        for (SupervisedProcessRecord record :
                SupervisedProcessRecord.readAll(config.stateFolder())) {
            ProcessHandle handle = record.findProcess().orElse(null);
            if (handle == null) {
                record.delete(config.stateFolder());
            } else {
                RunningProcess process = new RunningProcess(record, handle);
                log.accept("adopted " + process);
                running.put(supervisor.adopt(nowMicros, record.variant()), process);
            }
        }
    }

    /** Reports which processes have exited and which have become ready. */
    void poll(ProcessSupervisor supervisor, long nowMicros) throws IOException {
        for (int number : List.copyOf(running.keySet())) {
            RunningProcess process = running.get(number);
            if (!process.handle.isAlive()) {
                running.remove(number);
                process.record.delete(config.stateFolder());
                log.accept(process + " exited");
                supervisor.onExited(nowMicros, number);
            } else if (supervisor.isStarting(number)
                    && AdminClient.isReady(process.record.adminAddress())) {
                supervisor.onReady(nowMicros, number);
            }
        }
    }

    /** Starts a process. One that can't be started is immediately reported as exited. */
    void start(ProcessSupervisor supervisor, long nowMicros, int number, Variant variant)
            throws IOException {
        SupervisedProcessRecord record =
                new SupervisedProcessRecord(
                        UUID.randomUUID().toString(), 0, 0, variant, freeAdminAddress());
        record.write(config.stateFolder());
        try {
            Process process = BalancerCommand.of(config, record).start();
            process.getOutputStream().close();
            SupervisedProcessRecord started = record.withProcess(process.toHandle());
            started.write(config.stateFolder());
            running.put(number, new RunningProcess(started, process.toHandle()));
            log.accept("started " + running.get(number));
        } catch (IOException e) {
            record.delete(config.stateFolder());
            log.accept("can't start " + variant + ": " + e.getMessage());
            supervisor.onExited(nowMicros, number);
        }
    }

    private InetSocketAddress freeAdminAddress() {
        List<InetSocketAddress> used =
                running.values().stream().map(process -> process.record.adminAddress()).toList();
        return config.adminAddresses().stream()
                .filter(address -> !used.contains(address))
                .findFirst()
                .orElseThrow();
    }

    /** Requests a graceful shutdown of a process. */
    void terminate(int number) {
        RunningProcess process = running.get(number);
        if (process != null) {
            process.handle.destroy();
        }
    }

    /** Kills a process without a graceful shutdown. */
    void kill(int number) {
        RunningProcess process = running.get(number);
        if (process != null) {
            log.accept("killing " + process);
            process.handle.destroyForcibly();
        }
    }

    /** Returns a sample of each running process, by unique id. */
    Map<String, ProcessSample> samples() {
        Map<String, ProcessSample> samples = new TreeMap<>();
        for (RunningProcess process : running.values()) {
            samples.put(process.record.id(), sample(process));
        }
        return samples;
    }

    private static ProcessSample sample(RunningProcess process) {
        return new ProcessSample(
                AdminClient.counters(process.record.adminAddress()),
                cpuMicros(process.handle),
                memoryKilobytes(process.handle.pid()));
    }

    private static long cpuMicros(ProcessHandle handle) {
        return handle.info()
                .totalCpuDuration()
                .map(duration -> duration.toNanos() / NANOS_PER_MICRO)
                .orElse(0L);
    }

    /** Returns the resident memory on Linux; 0 elsewhere, which counts as missing. */
    private static long memoryKilobytes(long pid) {
        Path status = Path.of("/proc", Long.toString(pid), "status");
        try {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith(RESIDENT_MEMORY_FIELD)) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
        return 0;
    }
}
