package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.logging.QuietPeriodLogFilter;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.transport.Transport;

/**
 * Follows the list of upstreams: one watch, opened anew from the version held whenever it ends, and
 * the whole list if asked for or if a part was not understood.
 */
final class Discovery implements ListSource, DiscoveryCall.Caller {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final String LIST = "/v1/servers";

    /** All balancers may be sent elsewhere at one moment. What is said there counts 4 s later. */
    private static final long MOVE_SPREAD_MS = 250;

    private final Transport transport;
    private final boolean asked;
    private final RequestDispatcher driver;
    private final CurrentListVersion version;
    private final RetriedCall watch;
    private final RetriedCall whole;
    private final QuietPeriodLogFilter brokenLine = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter olderList = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter failure = new QuietPeriodLogFilter();
    private InetSocketAddress address;

    /** A part of the list was not understood, and the whole is to make up for it. */
    private boolean owed;

    /** Whether it has said since the start what has changed, or that nothing has. */
    private boolean told;

    private boolean heard;
    private long heardAt;

    /** With {@code asked} the module hears of calls that failed. */
    Discovery(
            Transport transport,
            InetSocketAddress address,
            boolean asked,
            long version,
            RequestDispatcher driver) {
        this.transport = transport;
        this.address = address;
        this.asked = asked;
        this.version = new CurrentListVersion(version);
        this.driver = driver;
        this.watch =
                new RetriedCall(
                        transport, () -> dial(LIST + "?follow=1&since=" + this.version.get()));
        this.whole = new RetriedCall(transport, () -> dial(LIST));
    }

    private DiscoveryCall dial(String uri) {
        LOG.log(System.Logger.Level.DEBUG, () -> "calls " + address + uri);
        return DiscoveryCall.dial(transport, address, uri, this);
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            watch.begin();
        } else {
            watch.end();
        }
    }

    @Override
    public void fetch() {
        whole.begin();
    }

    @Override
    public long quietMs() {
        return heard ? TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - heardAt) : -1;
    }

    @Override
    public String origin() {
        return origin(address);
    }

    /** What lists of discovery at an address are known by. */
    static String origin(InetSocketAddress address) {
        return address.toString();
    }

    /**
     * Follows discovery at another address from now on. Versions of the old one mean nothing there:
     * the new one is asked from the beginning, and what the old one says is heard no more.
     */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "follows discovery at another address");
        boolean watching = !watch.isOff();
        boolean fetching = !whole.isOff() && !owed;
        watch.endAndForget();
        whole.endAndForget();
        owed = false;
        address = to;
        version.forget();
        if (watching) {
            watch.beginWithin(MOVE_SPREAD_MS);
        }
        if (fetching) {
            whole.beginWithin(MOVE_SPREAD_MS);
        }
    }

    // ---- From calls
    // ------------------------------------------------------------------------------------

    /** Nothing has changed since the version held: the first time that is news to the module. */
    @Override
    public void empty(DiscoveryCall call) {
        heard();
        if (!told && version.get() > 0 && watch.is(call)) {
            told = true;
            driver.updateEndpoints(
                    EndpointListUpdateType.DELTA,
                    new EndpointListUpdate(version.get(), false, List.of()));
        }
    }

    @Override
    public void object(DiscoveryCall call, byte[] json) {
        heard();
        EndpointListUpdate list;
        try (JsonParser parser = Config.JSON.createParser(json)) {
            parser.nextToken();
            list = EndpointListReader.read(parser);
        } catch (IOException | InvalidInputException e) {
            broken(call, e.getMessage());
            return;
        }
        if (whole.is(call)) {
            owed = false;
            whole.end();
        }
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        (list.isComplete() ? "list" : "changes")
                                + " of version "
                                + list.version()
                                + " with "
                                + list.entries().size()
                                + " entries on the "
                                + (watch.is(call) ? "watch" : "call for the list"));
        if (version.take(list)) {
            told = true;
            driver.updateEndpoints(
                    list.isComplete() ? EndpointListUpdateType.FULL : EndpointListUpdateType.DELTA, list);
        } else if (olderList.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a list of version "
                            + list.version()
                            + ", older than the one held, "
                            + version.get());
        }
    }

    @Override
    public void broken(DiscoveryCall call, String why) {
        if (brokenLine.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a broken line of discovery: " + why.lines().findFirst().orElse(""));
        }
        if (watch.is(call)) {
            owed = true;
            whole.beginAfterPause();
        }
    }

    @Override
    public void ended(DiscoveryCall call) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        (watch.is(call) ? "watch" : "call for the list")
                                + " ended: "
                                + call.why()
                                + ", quiet for "
                                + call.quietMs()
                                + " ms, open for "
                                + call.openMs()
                                + " ms, version held "
                                + version.get());
        if (watch.is(call)) {
            watch.failed();
        } else if (owed) {
            whole.failed();
        } else {
            whole.end();
        }
        if (asked) {
            driver.endpointListUnavailable();
        }
    }

    @Override
    public void failed(Throwable why) {
        if (failure.shouldLog(transport.nanoTime())) {
            LOG.log(System.Logger.Level.WARNING, "a call to discovery failed here: " + why);
        }
    }

    private void heard() {
        heard = true;
        heardAt = transport.nanoTime();
    }
}
