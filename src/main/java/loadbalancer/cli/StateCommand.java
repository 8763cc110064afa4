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

/** What a balancer has kept of what it knew. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description =
                "Say what a balancer has kept, and what of it one that starts now would believe.")
final class StateCommand extends CommandGroup {
    private static final double MICROS = 1e6;

    StateCommand() {
        super("show or check");
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Say whether a file can be used. Exit code 2 if not.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadScenario {
        Snapshot s = read(file);
        out().println(
                        file
                                + ": good; "
                                + s.listedEndpoints().size()
                                + " upstreams of version "
                                + s.listVersion()
                                + " from "
                                + s.discoveryAddress()
                                + ", "
                                + s.policySnapshot().endpoints().size()
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
        Snapshot s = read(file);
        if (json) {
            String text = Files.readString(file);
            out().println(text.substring(text.indexOf('\n') + 1));
            return 0;
        }
        long now = System.currentTimeMillis();
        long age = s.ageMillis(now) * 1_000;
        out().printf(
                        Locale.ROOT,
                        "saved %.1f s ago%s; the list was heard of %.1f s ago, trusted by %.2f%n",
                        age / MICROS,
                        s.isFromTheFuture(now)
                                ? " as far as is believed (its clock was ahead)"
                                : "",
                        s.listAgeMillis(now) / 1e3,
                        StateRestoration.remainingFraction(
                                s.listAgeMillis(now) * 1_000,
                                StateRestoration.LIST_TRUST_HALF_LIFE_MICROS));
        out().printf(
                        Locale.ROOT,
                        "version %d from %s, %d upstreams%n",
                        s.listVersion(),
                        s.discoveryAddress(),
                        s.listedEndpoints().size());
        for (ListedEndpoint e : s.listedEndpoints()) {
            out().printf(
                            "  %s at %s, zone %s, kind %s, %s%n",
                            e.id(),
                            e.address(),
                            e.zone(),
                            e.machineKind(),
                            e.state().name().toLowerCase(Locale.ROOT));
        }
        out().println(
                        "believed now, where a start would know nothing (limits in requests, times"
                                + " in ms):");
        for (EndpointSnapshot saved : s.policySnapshot().endpoints()) {
            EndpointSnapshot k =
                    StateRestoration.discounted(
                            saved, age, 1, s.policySnapshot().responseTimePerQueuedMicros());
            out().printf(
                            Locale.ROOT,
                            "  %s limit %.2f of %.2f, answers %.1f, errors %.2f, weight %.2f%s%n",
                            k.id(),
                            k.concurrencyLimit(),
                            saved.concurrencyLimit(),
                            k.responseTimeMicros() / 1e3,
                            k.errorRatio(),
                            Math.exp(k.logWeight()),
                            k.ejectionLeftMicros() > 0
                                    ? ", gets nothing for " + k.ejectionLeftMicros() / MICROS + " s"
                                    : "");
        }
        return 0;
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
