package loadbalancer.lab.sim;

import loadbalancer.AttemptOutcome;
import loadbalancer.LoadReport;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Between balancers and servers: delays, connections, and what becomes of an attempt on its way.
 */
final class Network implements Server.Replies {
    private final EventQueue agenda;
    private final UniformRandomProvider random;
    private final Tally tally;
    private final long same;
    private final long cross;
    private final double jitter;
    private final double handshakeRtts;
    private final double handshakeWork;
    private final long connectTimeout;
    private final long idle;

    Network(Section s, EventQueue agenda, UniformRandomProvider random, Tally tally) {
        this.agenda = agenda;
        this.random = random;
        this.tally = tally;
        same = s.micros("same_ms");
        cross = s.micros("cross_ms");
        jitter = s.number("jitter");
        handshakeRtts = s.number("handshake_rtts");
        handshakeWork = s.number("handshake_us");
        connectTimeout = s.micros("connect_timeout_ms");
        idle = s.micros("idle_s");
    }

    private long oneWay(int from, int to) {
        return Draws.jittered(random, from == to ? same : cross, jitter);
    }

    void send(Gateway from, Attempt a) {
        Server server = a.server;
        long way = oneWay(from.zone, server.machine.zone());
        if (from.connectionsTo(server).take(server, agenda.now(), idle)) {
            a.connection = server.life();
            arrive(from, a, way, 0);
            return;
        }
        long shaken = Math.round(2 * way * handshakeRtts);
        if (shaken > connectTimeout) {
            agenda.in(connectTimeout, () -> from.end(a, AttemptOutcome.CONNECT_FAILED, null));
            return;
        }
        agenda.in(way, () -> connect(from, a, way, shaken));
    }

    private void connect(Gateway from, Attempt a, long way, long shaken) {
        Server server = a.server;
        if (!server.alive() || server.full()) {
            long heard = server.alive() || !server.silent() ? way : connectTimeout - way;
            agenda.in(heard, () -> from.end(a, AttemptOutcome.CONNECT_FAILED, null));
            return;
        }
        server.connected(1);
        tally.handshakes++;
        a.connection = server.life();
        if (a.done) {
            release(
                    from,
                    a,
                    AttemptOutcome.NOT_SENT); // given up while it was being set up: nothing is sent
            return;
        }
        arrive(from, a, Math.max(0, shaken - way) + way, handshakeWork);
    }

    private void arrive(Gateway from, Attempt a, long way, double extra) {
        agenda.in(
                way,
                () -> {
                    Server server = a.server;
                    if (server.alive() && server.life() != a.connection) {
                        reply(a, AttemptOutcome.CONNECTION_RESET, null);
                        return;
                    }
                    double work =
                            a.of.call.work
                                    * Draws.factor(random, a.of.call.trafficClass.attemptNoise);
                    if (server.isCold()) {
                        server.coldFrom(from.knowsStartOf(server), work + extra);
                    }
                    tally.offered += work;
                    server.offer(a, work, extra);
                });
    }

    @Override
    public void reply(Attempt a, AttemptOutcome outcome, LoadReport load) {
        if (outcome == AttemptOutcome.SUCCESS) {
            tally.effect(a, agenda.now());
        }
        Gateway to = a.of.at;
        agenda.in(oneWay(a.server.machine.zone(), to.zone), () -> to.end(a, outcome, load));
    }

    /** The balancer waits no more for it; the server hears of that. */
    void abandoned(Attempt a) {
        Job job = a.job;
        if (job != null) {
            agenda.in(oneWay(a.of.at.zone, a.server.machine.zone()), () -> a.server.giveUp(job));
        }
    }

    /**
     * The connection of an ended attempt is idle now, or closed where the answer may still come on
     * it.
     */
    void release(Gateway from, Attempt a, AttemptOutcome outcome) {
        if (a.connection < 0) {
            return;
        }
        switch (outcome) {
            case SUCCESS, ERROR, REJECTED, NOT_SENT -> {
                Connections c = from.connectionsTo(a.server);
                c.giveBack(a.server, a.connection, agenda.now());
                sweepLater(c);
            }
            case CONNECTION_RESET, CONNECT_FAILED -> {}
            case TIMEOUT, CANCELLED -> {
                if (a.server.life() == a.connection) {
                    a.server.connected(-1);
                }
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private void sweepLater(Connections c) {
        if (!c.sweeping) {
            c.sweeping = true;
            agenda.in(
                    idle,
                    () -> {
                        c.sweeping = false;
                        if (c.expire(agenda.now(), idle) > 0) {
                            sweepLater(c);
                        }
                    });
        }
    }
}
