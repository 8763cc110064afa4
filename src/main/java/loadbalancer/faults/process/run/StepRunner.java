package loadbalancer.faults.process.run;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.check.Disturbance;
import loadbalancer.faults.process.check.Disturbance.Kind;
import loadbalancer.faults.process.peer.Crowd;
import loadbalancer.faults.process.peer.DiscoveryStandIn;
import loadbalancer.faults.process.peer.Pace;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.peer.Upstream;
import loadbalancer.faults.process.plan.Step;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Odds;
import loadbalancer.faults.process.relay.LinkConditions;
import loadbalancer.faults.process.relay.TcpRelay;

/** Does what a step says, and returns when it is over. */
final class StepRunner {
    private static final long MOST_CLOCK_MS = 3_600_000;

    private static final int MOST_LEAK = 64 * 1024;

    private static final int MOST_SIGNALS = 5;

    /** Fewer than a balancer's limit on connections, since a crowd is not to keep others out. */
    private static final int MOST_CONNECTIONS = 150;

    private final Scene scene;
    private final SystemFaultRunner systemFaults;

    StepRunner(Scene scene) {
        this.scene = scene;
        this.systemFaults = new SystemFaultRunner(scene.log);
    }

    void step(Step s) {
        switch (s.kind().whom()) {
            case BALANCER -> balancer(s, scene.instances().get(s.who()));
            case LINK -> link(s);
            case UPSTREAM -> upstream(s, scene.upstreams().get(s.who()));
            case DISCOVERY -> discovery(s);
            case MEMBERS -> members(s);
            default -> throw new IllegalArgumentException(s.kind().name());
        }
    }

    private void balancer(Step s, BalancerInstance instance) {
        switch (s.kind()) {
            case KILL -> instance.killFor(s.forMs());
            case STOP -> instance.pauseFor(s.forMs());
            case HAND_OVER -> instance.handOver();
            case RESTART -> instance.restart();
            case HAND_OVER_SIGNALS -> instance.handOverWithSignals(moreSignals(s));
            case RESTART_SIGNALS -> instance.restartWithSignals(moreSignals(s));
            case CROWD -> crowd(s);
            case RELOAD -> instance.reload(true, s.forMs());
            case RELOAD_BROKEN -> instance.reload(false, s.forMs());
            case CLOCK ->
                    odds(instance, Odds.clock(Math.round((2 * s.size() - 1) * MOST_CLOCK_MS)), s);
            case DISK_FULL -> odds(instance, Odds.disk(false), s);
            case DISK_REFUSES -> odds(instance, Odds.disk(true), s);
            case RELOADS_IN_A_ROW -> instance.reloads(2 + (int) (3 * s.size()));
            case LEAK -> odds(instance, Odds.leaking((int) (s.size() * MOST_LEAK)), s);
            case CRASHING_SUCCESSOR -> instance.failedHandOver();
            case CRASH -> instance.crashAfter(1);
            case CUT_HALF -> {
                int half = (scene.upstreams().size() + 1) / 2;
                links(
                        s,
                        IntStream.range(0, half).toArray(),
                        link -> link.cut(true, true),
                        TcpRelay::heal);
            }
            case CUT_DISCOVERY -> cutDiscovery(s);
            case ALONE -> {
                scene.members().around(s.who(), LinkConditions.CUT);
                BalancerInstance.pause(s.forMs());
                scene.members().around(s.who(), LinkConditions.CLEAR);
            }
            default -> systemFaults.run(s, instance);
        }
    }

    private static int moreSignals(Step s) {
        return 1 + (int) (MOST_SIGNALS * s.size());
    }

    private void crowd(Step s) {
        int connections = 1 + (int) (MOST_CONNECTIONS * s.size());
        Crowd crowd = new Crowd(scene.topology.listen(s.who()), connections);
        try {
            BalancerInstance.pause(s.forMs());
        } finally {
            crowd.close();
        }
    }

    private static void odds(BalancerInstance instance, Odds odds, Step s) {
        instance.odds(odds);
        BalancerInstance.pause(s.forMs());
        instance.odds(Odds.NONE);
    }

    private void cutDiscovery(Step s) {
        long from = RealTime.micros();
        scene.toDiscovery(s.who()).cut(true, true);
        BalancerInstance.pause(s.forMs());
        scene.toDiscovery(s.who()).heal();
        scene.log.note(new Disturbance(Kind.DISCOVERY, s.who(), null, from, RealTime.micros()));
    }

    private void link(Step s) {
        LinkConditions slow =
                LinkConditions.slow(Math.round(s.size() * 200), Math.round(s.size() * 100));
        Consumer<TcpRelay> begin =
                switch (s.kind()) {
                    case CUT -> link -> link.cut(true, true);
                    case CUT_OUT -> link -> link.cut(true, false);
                    case CUT_BACK -> link -> link.cut(false, true);
                    case HOLD ->
                            link -> {
                                link.out().conditions(LinkConditions.CUT);
                                link.back().conditions(LinkConditions.CUT);
                            };
                    case SLOW ->
                            link -> {
                                link.out().conditions(slow);
                                link.back().conditions(slow);
                            };
                    case RESET -> TcpRelay::reset;
                    case REFUSE ->
                            link -> {
                                link.refuse();
                                link.reset();
                            };
                    default -> throw new IllegalArgumentException(s.kind().name());
                };
        boolean late = s.kind() == Step.Kind.HOLD || s.kind() == Step.Kind.SLOW;
        links(s, new int[] {s.other()}, begin, late ? TcpRelay::clear : TcpRelay::heal);
    }

    private void links(Step s, int[] upstreams, Consumer<TcpRelay> begin, Consumer<TcpRelay> end) {
        long from = RealTime.micros();
        for (int u : upstreams) {
            begin.accept(scene.link(s.who(), u));
        }
        BalancerInstance.pause(s.forMs());
        for (int u : upstreams) {
            end.accept(scene.link(s.who(), u));
        }
        for (int u : upstreams) {
            scene.log.note(
                    new Disturbance(
                            Kind.LINK,
                            s.who(),
                            scene.upstreams().get(u).id(),
                            from,
                            RealTime.micros()));
        }
    }

    private void upstream(Step s, Upstream upstream) {
        // One after the other: two that change it at a time would leave it in neither's state.
        synchronized (upstream) {
            DiscoveryStandIn.Entry entry = scene.ready(s.who());
            Pace pace = upstream.pace();
            switch (s.kind()) {
                case UPSTREAM_DIES -> {
                    upstream.die();
                    BalancerInstance.pause(s.forMs());
                    again(upstream);
                }
                case UPSTREAM_DRAINS -> {
                    scene.discovery().publish(List.of(entry.in("Terminating")));
                    BalancerInstance.pause(s.forMs());
                }
                case UPSTREAM_LEAVES -> {
                    scene.discovery().publish(List.of(entry.in("Gone")));
                    BalancerInstance.pause(s.forMs());
                }
                case UPSTREAM_SLOWS -> {
                    upstream.pace(
                            new Pace(
                                    Math.round(pace.workMs() * (1 + 3 * s.size())),
                                    pace.knownShare(),
                                    pace.memory(),
                                    pace.coldFactor(),
                                    pace.coldMs(),
                                    pace.workers(),
                                    pace.queue()));
                    BalancerInstance.pause(s.forMs());
                    upstream.pace(pace);
                }
                case UPSTREAM_FAILS -> {
                    upstream.failOneIn((int) Math.round(1 / s.size()));
                    BalancerInstance.pause(s.forMs());
                    upstream.failOneIn(0);
                }
                default -> throw new IllegalArgumentException(s.kind().name());
            }
            scene.discovery().publish(List.of(scene.ready(s.who())));
        }
    }

    private static void again(Upstream upstream) {
        try {
            upstream.start();
        } catch (IOException e) {
            throw new RigFailure("can't start " + upstream.id() + " again", e);
        }
    }

    private void discovery(Step s) {
        long from = RealTime.micros();
        switch (s.kind()) {
            case DISCOVERY_DOWN -> {
                scene.discovery().down(true);
                BalancerInstance.pause(s.forMs());
                scene.discovery().down(false);
            }
            case DISCOVERY_LATE -> {
                scene.discovery().late(s.forMs());
                BalancerInstance.pause(s.forMs());
                scene.discovery().late(0);
                BalancerInstance.pause(s.forMs());
            }
            case DISCOVERY_STALE -> {
                List<DiscoveryStandIn.Entry> older =
                        IntStream.range(0, scene.upstreams().size())
                                .filter(u -> u != s.other())
                                .mapToObj(scene::ready)
                                .toList();
                scene.discovery().stale(older, s.forMs());
                BalancerInstance.pause(s.forMs());
            }
            default -> throw new IllegalArgumentException(s.kind().name());
        }
        for (int b = 0; b < scene.instances().size(); b++) {
            scene.log.note(new Disturbance(Kind.DISCOVERY, b, null, from, RealTime.micros()));
        }
    }

    private void members(Step s) {
        if (s.kind() == Step.Kind.ALL_WALL_CLOCKS) {
            allClocks(SystemFaultRunner.clockOff(s));
            BalancerInstance.pause(s.forMs());
            allClocks(0);
        } else if (s.kind() == Step.Kind.CLIENTS_LEAVE) {
            scene.clients().unruly(s.size());
            BalancerInstance.pause(s.forMs());
            scene.clients().unruly(0);
        } else if (s.kind() == Step.Kind.SPLIT) {
            scene.members().split(scene.instances().size() / 2, LinkConditions.CUT);
            BalancerInstance.pause(s.forMs());
            scene.members().split(scene.instances().size() / 2, LinkConditions.CLEAR);
        } else {
            scene.members().everywhere(LinkConditions.storm(s.size() / 2, 20, 50));
            BalancerInstance.pause(s.forMs());
            scene.members().everywhere(LinkConditions.CLEAR);
        }
    }

    private void allClocks(long offMs) {
        scene.instances().forEach(i -> i.faults().ifPresent(page -> page.wallClockOff(offMs)));
        scene.upstreams().forEach(u -> u.wallClockOff(offMs));
    }
}
