package loadbalancer.faults.control.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import loadbalancer.control.model.Scope;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.transport.MillisecondIoHandler;
import loadbalancer.transport.SocketTransport;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * A process of many hollow subscribers on a few event loops. Takes commands on standard input,
 * answers on standard output, and ends when its input does.
 */
@Command(name = "hollow", description = "Subscribers without a request path, many in one process.")
public final class HollowProcess implements Callable<Integer> {
    private static final int SLICE_RESOURCES = 256;
    private static final long SILENCE_MILLIS = 6_000;
    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long LONGEST_RETRY_MILLIS = 4_000;

    @Option(names = "--first", required = true, description = "number of the first subscriber")
    private int first;

    @Option(names = "--count", required = true, description = "how many subscribers")
    private int count;

    @Option(names = "--zone", required = true)
    private String zone;

    @Option(names = "--server", required = true, description = "address of a control machine")
    private List<String> servers;

    @Option(names = "--services", required = true, description = "how many services there are")
    private int services;

    @Option(
            names = "--scope-services",
            defaultValue = "0",
            description = "services of each scope; 0 for all")
    private int scopeServices;

    @Option(names = "--loops", defaultValue = "2")
    private int loops;

    private final ObjectMapper json = new ObjectMapper();
    private final RevisionTimes times = new RevisionTimes();
    private final List<EventLoop> eventLoops = new ArrayList<>();
    private final List<HollowSubscriber> subscribers = new ArrayList<>();

    private HollowProcess() {}

    /** Runs until the end of its input. */
    public static void main(String[] args) {
        // Netty would take SLF4J, and say so line by line.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.exit(new CommandLine(new HollowProcess()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(loops, MillisecondIoHandler.factory());
        for (int loop = 0; loop < loops; loop++) {
            eventLoops.add(group.next());
        }
        List<InetSocketAddress> addresses = servers.stream().map(HollowProcess::address).toList();
        for (int subscriber = 0; subscriber < count; subscriber++) {
            start(subscriber, addresses);
        }
        BufferedReader commands =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            answer(HollowCommand.valueOf(line));
        }
        group.shutdownGracefully();
        return 0;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void start(int place, List<InetSocketAddress> addresses) throws Exception {
        EventLoop loop = loopOf(place);
        SubscriberSettings settings =
                new SubscriberSettings(
                        "hollow-" + (first + place),
                        zone,
                        scope(first + place),
                        addresses.size(),
                        SLICE_RESOURCES,
                        SILENCE_MILLIS,
                        FIRST_RETRY_MILLIS,
                        LONGEST_RETRY_MILLIS);
        subscribers.add(
                loop.submit(
                                () -> {
                                    HollowSubscriber made =
                                            new HollowSubscriber(
                                                    new SocketTransport(loop),
                                                    settings,
                                                    addresses,
                                                    times);
                                    made.start();
                                    return made;
                                })
                        .get());
    }

    private EventLoop loopOf(int place) {
        return eventLoops.get(place % loops);
    }

    /** The same for the same subscriber in each of its lives. */
    private Scope scope(int subscriber) {
        if (scopeServices == 0 || scopeServices >= services) {
            return Scope.ALL;
        }
        SplittableRandom random = new SplittableRandom(subscriber);
        TreeSet<String> names = new TreeSet<>();
        while (names.size() < scopeServices) {
            names.add(ScaleChanges.serviceName(random.nextInt(services)));
        }
        return new Scope(names);
    }

    private void answer(HollowCommand command) throws Exception {
        if (command == HollowCommand.RESET) {
            times.reset();
        }
        List<HollowReport.SubscriberReport> reports = new ArrayList<>();
        for (int place = 0; place < subscribers.size(); place++) {
            HollowSubscriber subscriber = subscribers.get(place);
            reports.add(
                    loopOf(place)
                            .submit(
                                    () -> {
                                        if (command == HollowCommand.RESET) {
                                            subscriber.reset();
                                        }
                                        return subscriber.report();
                                    })
                            .get());
        }
        boolean whole = command == HollowCommand.REPORT;
        write(
                new HollowReport(
                        reports,
                        whole ? times.list() : List.of(),
                        whole ? heapAfterCollection() : 0));
    }

    private static long heapAfterCollection() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void write(HollowReport report) throws IOException {
        System.out.println(json.writeValueAsString(report));
        System.out.flush();
    }
}
