package loadbalancer.faults.control.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.faults.process.program.Reaper;
import loadbalancer.faults.process.relay.LinkDirection;
import loadbalancer.faults.process.relay.TcpRelay;

/** All subscribers of a run, in groups by zone; where there are enough, ten share a rack. */
final class HollowFleet implements AutoCloseable {
    private static final int ZONES = 5;
    private static final int ZONES_OF_A_SMALL_RUN = 2;
    private static final int SMALL_RUN = 20;
    private static final int RACK = 10;
    private static final int LEAST_WITH_RACK = 50;
    private static final int FIRST_RELAY_HOST = 20;

    private final ScaleOptions options;
    private final List<InetSocketAddress> servers;
    private final Reaper reaper;
    private final LocalAddresses addresses;
    private final EventLoopGroup relayLoops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<HollowGroup> groups = new ArrayList<>();
    private HollowGroup rack;

    /** Lays out the groups and starts nothing. */
    HollowFleet(
            ScaleOptions options,
            List<InetSocketAddress> servers,
            Reaper reaper,
            LocalAddresses addresses) {
        this.options = options;
        this.servers = servers;
        this.reaper = reaper;
        this.addresses = addresses;
        layOut();
    }

    private void layOut() {
        int zones = options.subscribers() < SMALL_RUN ? ZONES_OF_A_SMALL_RUN : ZONES;
        int first = 0;
        for (int zone = 0; zone < zones; zone++) {
            int end = options.subscribers() * (zone + 1) / zones;
            boolean withRack = zone == zones - 1 && options.subscribers() >= LEAST_WITH_RACK;
            if (withRack) {
                rack = group("rack", "zone-" + zone, first, RACK);
                first += RACK;
            }
            layOutZone("zone-" + zone, first, end - first);
            first = end;
        }
    }

    private void layOutZone(String zone, int first, int count) {
        int processes = (count + options.limits().perProcess() - 1) / options.limits().perProcess();
        for (int process = 0; process < processes; process++) {
            int from = first + count * process / processes;
            int to = first + count * (process + 1) / processes;
            group(zone + "-process-" + process, zone, from, to - from);
        }
    }

    private HollowGroup group(String name, String zone, int first, int count) {
        List<TcpRelay> relays = options.faults() == FaultScript.Extent.ALL ? relays() : List.of();
        List<InetSocketAddress> ways =
                relays.isEmpty() ? servers : relays.stream().map(TcpRelay::address).toList();
        HollowGroup group =
                new HollowGroup(options, name, zone, first, count, ways, relays, reaper);
        groups.add(group);
        return group;
    }

    private List<TcpRelay> relays() {
        List<TcpRelay> relays = new ArrayList<>();
        for (InetSocketAddress server : servers) {
            InetSocketAddress front = addresses.free(FIRST_RELAY_HOST + groups.size());
            LinkDirection out = new LinkDirection(new SplittableRandom());
            LinkDirection back = new LinkDirection(new SplittableRandom());
            relays.add(new TcpRelay(relayLoops.next(), front, server, out, back));
        }
        return relays;
    }

    /** How many processes there are. */
    int processes() {
        return groups.size();
    }

    void start() {
        groups.forEach(HollowGroup::start);
    }

    List<HollowGroup> groups() {
        return List.copyOf(groups);
    }

    /** The groups of the first zone. */
    List<HollowGroup> firstZone() {
        return groups.stream().filter(group -> group.zone().equals("zone-0")).toList();
    }

    /** Groups that hold about half of the subscribers, by their order. */
    List<HollowGroup> half() {
        List<HollowGroup> half = new ArrayList<>();
        int count = 0;
        for (HollowGroup group : groups) {
            if (count < options.subscribers() / 2) {
                half.add(group);
                count += group.count();
            }
        }
        return half;
    }

    /** Ten subscribers, or the last group where there is no rack. */
    HollowGroup rack() {
        return rack == null ? groups.get(groups.size() - 1) : rack;
    }

    /** All subscribers as they are now. */
    List<HollowReport.SubscriberReport> status() {
        List<HollowReport.SubscriberReport> reports = new ArrayList<>();
        groups.forEach(group -> reports.addAll(group.ask(HollowCommand.STATUS).subscribers()));
        return reports;
    }

    @Override
    public void close() {
        groups.forEach(HollowGroup::close);
        relayLoops.shutdownGracefully();
    }
}
