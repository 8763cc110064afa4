package loadbalancer.faults.control.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.program.Reaper;
import loadbalancer.faults.process.relay.TcpRelay;

/** Subscribers that share a process, a zone and their way to the control machines. */
final class HollowGroup implements AutoCloseable {
    private final ScaleOptions options;
    private final String name;
    private final String zone;
    private final int first;
    private final int count;
    private final List<InetSocketAddress> servers;
    private final List<TcpRelay> relays;
    private final Reaper reaper;
    private final ObjectMapper json = new ObjectMapper();
    private final List<RevisionTimes.RevisionTime> timesOfEarlierLives = new ArrayList<>();
    private ManagedProcess process;
    private int lives;

    /**
     * Starts nothing yet.
     *
     * @param relays that lead to the servers; empty if the servers are reached without
     */
    HollowGroup(
            ScaleOptions options,
            String name,
            String zone,
            int first,
            int count,
            List<InetSocketAddress> servers,
            List<TcpRelay> relays,
            Reaper reaper) {
        this.options = options;
        this.name = name;
        this.zone = zone;
        this.first = first;
        this.count = count;
        this.servers = servers;
        this.relays = relays;
        this.reaper = reaper;
    }

    String zone() {
        return zone;
    }

    int count() {
        return count;
    }

    void start() {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "--first",
                                Integer.toString(first),
                                "--count",
                                Integer.toString(count),
                                "--zone",
                                zone,
                                "--services",
                                Integer.toString(options.size().services()),
                                "--scope-services",
                                Integer.toString(options.scopeServices())));
        for (InetSocketAddress server : servers) {
            arguments.add("--server");
            arguments.add(server.getHostString() + ":" + server.getPort());
        }
        Path log = options.folder().resolve(name + "." + lives++ + ".log");
        process =
                new ManagedProcess(
                        name,
                        options.program().hollow(options.limits().hollowHeapMegabytes(), arguments),
                        log,
                        reaper);
    }

    /** Ends the process at once; what it knows of revisions is asked for before. */
    void kill() {
        timesOfEarlierLives.addAll(ask(HollowCommand.REPORT).revisions());
        process.kill();
    }

    HollowReport ask(HollowCommand command) {
        if (command == HollowCommand.RESET) {
            timesOfEarlierLives.clear();
        }
        try {
            return json.readValue(process.ask(command.name()), HollowReport.class);
        } catch (JsonProcessingException e) {
            throw new ScaleFailure("a report of " + name + " can't be read", e);
        }
    }

    /** What earlier lives of the process knew of revisions. */
    List<RevisionTimes.RevisionTime> timesOfEarlierLives() {
        return List.copyOf(timesOfEarlierLives);
    }

    ProcessFigures figures() {
        return ProcessFigures.of(process.pid());
    }

    /** Nothing passes between the group and the control machines, and nobody is told. */
    void cut() {
        relays.forEach(relay -> relay.cut(true, true));
    }

    /** The control machines' side hears the group, but not the other way round. */
    void silence() {
        relays.forEach(relay -> relay.cut(false, true));
    }

    /** Ends {@link #cut} and {@link #silence}. */
    void heal() {
        relays.forEach(TcpRelay::heal);
    }

    @Override
    public void close() {
        if (process != null) {
            process.close();
        }
        relays.forEach(TcpRelay::close);
    }
}
