package loadbalancer.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import loadbalancer.EndpointSnapshot;
import loadbalancer.StateRestoration;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.ListedEndpoint;
import loadbalancer.snapshot.Snapshot;
import loadbalancer.snapshot.SnapshotFormat;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates and prints a balancer's snapshot file. Runs on the thread of the command line. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description =
                "Show a balancer's snapshot, and the values that a balancer would restore from it"
                        + " now.")
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
            description = "Validate a snapshot file. Exit code 2 if it is invalid.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadScenario {
        Snapshot snapshot = read(file);
        out().println(
                        file
                                + ": valid; "
                                + snapshot.listedEndpoints().size()
                                + " upstreams of version "
                                + snapshot.listVersion()
                                + " from "
                                + snapshot.discoveryAddress()
                                + ", "
                                + snapshot.policySnapshot().endpoints().size()
                                + " of them with measurements");
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Print a snapshot file, and the values that would be restored from it now.")
    int show(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--json", description = "print the file's JSON as is") boolean json)
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
                        "values that a balancer without measurements would restore now (limits in"
                                + " requests, times in ms):");
        for (EndpointSnapshot saved : snapshot.policySnapshot().endpoints()) {
            printEndpoint(saved, restored(saved, snapshot, nowMillis));
        }
    }

    private void printAge(Snapshot snapshot, long nowMillis) {
        long listAgeMillis = snapshot.listAgeMillis(nowMillis);
        out().printf(
                        Locale.ROOT,
                        "saved %.1f s ago%s; last message from discovery %.1f s ago, trust %.2f%n",
                        snapshot.ageMillis(nowMillis) * MICROS_PER_MILLI / MICROS_PER_SECOND,
                        snapshot.isFromFuture(nowMillis)
                                ? " (assumed, since the timestamp is in the future)"
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
                        "  %s limit %.2f of %.2f, response time %.1f, errors %.2f, weight %.2f%s%n",
                        restored.id(),
                        restored.concurrencyLimit(),
                        saved.concurrencyLimit(),
                        restored.responseTimeMicros() / (double) MICROS_PER_MILLI,
                        restored.errorRatio(),
                        Math.exp(restored.logWeight()),
                        restored.ejectionLeftMicros() > 0
                                ? ", ejected for "
                                        + restored.ejectionLeftMicros() / MICROS_PER_SECOND
                                        + " s"
                                : "");
    }

    private static Snapshot read(Path file) throws BadScenario {
        try {
            return SnapshotFormat.read(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadScenario(file.toString(), "can't be read");
        } catch (InvalidStoredFileException e) {
            throw new BadScenario(file.toString(), e.getMessage());
        }
    }
}
