package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import loadbalancer.EndpointSnapshot;
import loadbalancer.StateRestoration;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.ListedEndpoint;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks and prints a balancer's stored state. Runs on the thread of the command line. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description =
                "Say what a balancer has kept, and what of it one that starts now would believe.")
final class StateCommand extends CommandGroup {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

    StateCommand() {
        super("show or check");
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Say whether a file can be used. Exit code 2 if not.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadScenario {
        Snapshot snapshot = read(file);
        out().println(
                        file
                                + ": good; "
                                + snapshot.listedEndpoints().size()
                                + " upstreams of version "
                                + snapshot.listVersion()
                                + " from "
                                + snapshot.discoveryAddress()
                                + ", "
                                + snapshot.policySnapshot().endpoints().size()
                                + " of them with figures");
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print what a file says, and what of it would be believed now.")
    int show(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--json", description = "the file's own JSON, as it is") boolean json)
            throws BadScenario, IOException {
        Snapshot snapshot = read(file);
        if (json) {
            String text = Files.readString(file);
            out().println(text.substring(text.indexOf('\n') + 1));
            return 0;
        }
        print(snapshot, System.currentTimeMillis());
        return 0;
    }

    private void print(Snapshot snapshot, long nowMillis) {
        printAge(snapshot, nowMillis);
        out().printf(
                        Locale.ROOT,
                        "version %d from %s, %d upstreams%n",
                        snapshot.listVersion(),
                        snapshot.discoveryAddress(),
                        snapshot.listedEndpoints().size());
        for (ListedEndpoint endpoint : snapshot.listedEndpoints()) {
            printListed(endpoint);
        }
        out().println(
                        "believed now, where a start would know nothing (limits in requests, times"
                                + " in ms):");
        for (EndpointSnapshot saved : snapshot.policySnapshot().endpoints()) {
            printEndpoint(saved, restored(saved, snapshot, nowMillis));
        }
    }

    private void printAge(Snapshot snapshot, long nowMillis) {
        long listAgeMillis = snapshot.listAgeMillis(nowMillis);
        out().printf(
                        Locale.ROOT,
                        "saved %.1f s ago%s; the list was heard of %.1f s ago, trusted by %.2f%n",
                        snapshot.ageMillis(nowMillis) * MICROS_PER_MILLI / MICROS_PER_SECOND,
                        snapshot.isFromTheFuture(nowMillis)
                                ? " as far as is believed (its clock was ahead)"
                                : "",
                        listAgeMillis / MILLIS_PER_SECOND,
                        StateRestoration.remainingFraction(
                                listAgeMillis * MICROS_PER_MILLI,
                                StateRestoration.LIST_TRUST_HALF_LIFE_MICROS));
    }

    private void printListed(ListedEndpoint endpoint) {
        out().printf(
                        "  %s at %s, zone %s, kind %s, %s%n",
                        endpoint.id(),
                        endpoint.address(),
                        endpoint.zone(),
                        endpoint.machineKind(),
                        endpoint.state().name().toLowerCase(Locale.ROOT));
    }

    private static EndpointSnapshot restored(
            EndpointSnapshot saved, Snapshot snapshot, long nowMillis) {
        return StateRestoration.discounted(
                saved,
                snapshot.ageMillis(nowMillis) * MICROS_PER_MILLI,
                1,
                snapshot.policySnapshot().responseTimePerQueuedMicros());
    }

    private void printEndpoint(EndpointSnapshot saved, EndpointSnapshot restored) {
        out().printf(
                        Locale.ROOT,
                        "  %s limit %.2f of %.2f, answers %.1f, errors %.2f, weight %.2f%s%n",
                        restored.id(),
                        restored.concurrencyLimit(),
                        saved.concurrencyLimit(),
                        restored.responseTimeMicros() / (double) MICROS_PER_MILLI,
                        restored.errorRatio(),
                        Math.exp(restored.logWeight()),
                        restored.ejectionLeftMicros() > 0
                                ? ", gets nothing for "
                                        + restored.ejectionLeftMicros() / MICROS_PER_SECOND
                                        + " s"
                                : "");
    }

    private static Snapshot read(Path file) throws BadScenario {
        try {
            return SnapshotFormat.read(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadScenario(file.toString(), "can't be read");
        } catch (InvalidSnapshotException e) {
            throw new BadScenario(file.toString(), e.getMessage());
        }
    }
}
