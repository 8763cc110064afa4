package loadbalancer.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.store.DamagedLogException;
import loadbalancer.http1.control.CallRejectedException;
import loadbalancer.http1.control.ControlApiClient;
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.http1.control.MessageCodec;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.node.control.server.ControlProcess;
import loadbalancer.settings.ControlFile;
import loadbalancer.settings.InvalidOperatorFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a control server, submits changes and prints their status. Runs on the thread of the command
 * line, which calls to control servers block.
 */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description =
                "Run a control server, submit a configuration change, or query where a revision is"
                        + " in force.")
final class ControlCommand extends CommandGroup {
    private static final long POLL_MILLIS = 100;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    ControlCommand() {
        super("serve, check, change or status");
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Run a control server until SIGTERM. Exit code 2 if it can't be started.")
    int serve(@Parameters(paramLabel = "FILE") Path file) throws BadScenario, InterruptedException {
        ControlFile settings = read(file);
        try {
            ControlProcess.serve(settings, err());
            return 0;
        } catch (IOException | DamagedLogException e) {
            throw new BadScenario("control " + settings.name(), e.getMessage());
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Validate the settings file of a control server. Exit code 2 if it is invalid.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws BadScenario {
        ControlFile settings = read(file);
        out().println(
                        file
                                + ": valid; "
                                + settings.name()
                                + " is a "
                                + settings.role().name().toLowerCase(Locale.ROOT)
                                + " at "
                                + settings.listen());
        return 0;
    }

    private static ControlFile read(Path file) throws BadScenario {
        try {
            return ControlFile.read(file);
        } catch (InvalidOperatorFileException e) {
            throw new BadScenario("control file", e.getMessage());
        }
    }

    @Command(
            name = "change",
            mixinStandardHelpOptions = true,
            description = {
                "Submit a change and print its revision. A change that is submitted again with the"
                        + " same id is applied only once.",
                "Exit code 1 if the change is rejected or isn't in force everywhere in time; 2 if"
                        + " the file can't be used."
            })
    int change(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--to",
                            required = true,
                            paramLabel = "ADDRESS",
                            converter = AddressConverter.class,
                            description = "address of the writer")
                    InetSocketAddress writer,
            @Option(
                            names = "--wait",
                            paramLabel = "SECONDS",
                            description = "maximum time to wait until it is in force everywhere")
                    Double waitSeconds)
            throws BadScenario, InterruptedException {
        Change change = readChange(file);
        try (ControlServerCalls calls = new ControlServerCalls(writer)) {
            long startedAtNanos = System.nanoTime();
            Revision revision = calls.call().change(change);
            out().println("accepted as " + revision);
            if (waitSeconds == null) {
                return 0;
            }
            return awaitInForce(calls.call(), revision, startedAtNanos, waitSeconds);
        } catch (CallRejectedException e) {
            out().println("refused: " + e.getMessage());
        } catch (IOException e) {
            out().println("outcome unknown, submit the change again: " + e.getMessage());
        }
        return 1;
    }

    private static Change readChange(Path file) throws BadScenario {
        try {
            return ResourceCodec.readChange(Files.readAllBytes(file));
        } catch (InvalidChangeException e) {
            throw new BadScenario(file.toString(), e.getMessage());
        } catch (IOException e) {
            throw new BadScenario(file.toString(), "can't be read");
        }
    }

    private int awaitInForce(
            ControlApiClient call, Revision revision, long startedAtNanos, double timeoutSeconds)
            throws IOException, CallRejectedException, InterruptedException {
        while (true) {
            DistributionProgress progress = new DistributionProgress(call.status(), revision);
            double elapsedSeconds = (System.nanoTime() - startedAtNanos) / NANOS_PER_SECOND;
            if (!progress.rejections().isEmpty()) {
                progress.rejections().forEach(out()::println);
                return 1;
            }
            if (progress.isInForceEverywhere()) {
                out().printf(
                                Locale.ROOT,
                                "in force at all %d subscribers after %.1f s%n",
                                progress.subscribers(),
                                elapsedSeconds);
                return 0;
            }
            if (elapsedSeconds > timeoutSeconds) {
                progress.behind().forEach(out()::println);
                return 1;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description =
                    "Print at how many subscribers the latest revision is in force, and which of"
                            + " them rejected a change.")
    int status(
            @Option(
                            names = "--from",
                            required = true,
                            paramLabel = "ADDRESS",
                            converter = AddressConverter.class,
                            description = "control server; the writer's status covers all")
                    InetSocketAddress server,
            @Option(names = "--json", description = "print the status as JSON") boolean json) {
        try (ControlServerCalls calls = new ControlServerCalls(server)) {
            ControlStatus status = calls.call().status();
            if (json) {
                out().println(new String(MessageCodec.encode(status), StandardCharsets.UTF_8));
            } else {
                print(status);
            }
            return 0;
        } catch (CallRejectedException | IOException e) {
            out().println("status not available: " + e.getMessage());
            return 1;
        }
    }

    private void print(ControlStatus status) {
        out().println(
                        status.role()
                                + " "
                                + status.machine()
                                + " at "
                                + status.revision()
                                + ", "
                                + status.resources()
                                + " resources, digest "
                                + status.digest());
        out().println("  " + describe(status.distribution()));
        for (ControlServerReport report : status.followers()) {
            out().printf(
                            Locale.ROOT,
                            "follower %s, %.1f s ago at %s%n",
                            report.machine(),
                            report.ageMillis() / MILLIS_PER_SECOND,
                            report.distribution().latest());
            out().println("  " + describe(report.distribution()));
            printRejections(report.distribution().rejections());
        }
        printRejections(status.distribution().rejections());
    }

    private static String describe(DistributionStatus distribution) {
        return distribution.subscribers()
                + " subscribers, in force at "
                + distribution.inForce()
                + ", behind "
                + distribution.behind()
                + ", oldest in force "
                + distribution.oldestInForce();
    }

    private void printRejections(List<DistributionStatus.Rejection> rejections) {
        rejections.forEach(
                rejection -> out().println("  " + DistributionProgress.describe(rejection)));
    }
}
