package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Clients that idle take all the descriptors that they can get. */
class DescriptorsTest {
    private static final long SECOND = 1_000_000;

    /** What the configuration of {@link FollowingNodes} allows, less the JVM's own. */
    private static final int SOCKETS = 512 - 24;

    private static final Host CLIENTS = new Host("clients");

    private final FollowingNodes world = new FollowingNodes(5, "pushed");
    private int up;

    /** Connections that come up and say nothing, some tens at a time. */
    private void idleClients(int most) {
        for (int i = 0; i < most; i++) {
            world.timeline.in(
                    i * 2_000L,
                    () ->
                            world.network.connect(
                                    CLIENTS,
                                    VirtualWorld.LISTEN,
                                    new VirtualNetwork.Connecting() {
                                        @Override
                                        public void up(End end) {
                                            up++;
                                        }

                                        @Override
                                        public void refused() {}
                                    }));
        }
    }

    /** They come while discovery is down; its return is heard as if they were not there. */
    @Test
    void discoveryIsHeardAgainThoughIdleClientsHoldWhatTheyCan() throws Exception {
        world.network.unlisten(FollowingNodes.DISCOVERY, world.discovery);
        world.discovery.script =
                c -> {
                    c.send(ScriptedDiscovery.HEAD);
                    c.tell(
                            FollowingNodes.list(
                                    42, false, FollowingNodes.entry("a", "Terminating")));
                };
        world.start();
        world.transports.get(0).descriptorsLeft(SOCKETS);
        world.timeline.runUntil(SECOND);
        idleClients(2_000);
        long back = 5 * SECOND;
        world.timeline.runUntil(back);
        assertTrue(up > SOCKETS / 2, up + " clients");
        world.network.listen(world.host, FollowingNodes.DISCOVERY, world.discovery);
        world.timeline.runUntil(back + 10 * SECOND);
        long told = world.heardDraining(0, "a");
        assertTrue(told <= back + 2 * SECOND, "told at " + told);
    }

    /**
     * Not even one descriptor is left: one plain line for all of it, and then clients are let in.
     */
    @Test
    void acceptingWithoutADescriptorIsOneLine() throws Exception {
        List<LogRecord> lines = new CopyOnWriteArrayList<>();
        Handler ear = collector(lines);
        java.util.logging.Logger ours = java.util.logging.Logger.getLogger("loadbalancer");
        Logger netty = (Logger) LoggerFactory.getLogger("io.netty.channel");
        ListAppender<ILoggingEvent> unhandled = new ListAppender<>();
        unhandled.start();
        ours.addHandler(ear);
        netty.addAppender(unhandled);
        world.discovery.script =
                c -> {
                    c.send(ScriptedDiscovery.HEAD);
                    c.tell("");
                };
        try {
            world.start();
            world.timeline.runUntil(SECOND);
            VirtualTransport transport = world.transports.get(0);
            transport.descriptorsLeft(0);
            idleClients(20);
            world.timeline.runUntil(10 * SECOND);
            transport.descriptorsLeft(-1);
            world.timeline.runUntil(11 * SECOND);
            assertEquals(20, world.network.openOf(CLIENTS).size());
            assertEquals(
                    20,
                    world.network.openOf(CLIENTS).stream()
                            .filter(e -> e.other().ownedAt() >= 0)
                            .count(),
                    "all are let in");
        } finally {
            ours.removeHandler(ear);
            netty.detachAppender(unhandled);
        }
        List<LogRecord> warnings =
                lines.stream()
                        .filter(l -> l.getLevel() == java.util.logging.Level.WARNING)
                        .toList();
        assertEquals(
                1,
                warnings.size(),
                warnings.stream().map(LogRecord::getMessage).toList().toString());
        assertTrue(warnings.get(0).getMessage().contains("Too many open files"));
        assertNull(warnings.get(0).getThrown());
        assertEquals(
                0,
                unhandled.list.stream()
                        .filter(
                                l ->
                                        l.getLevel()
                                                .isGreaterOrEqual(
                                                        ch.qos.logback.classic.Level.WARN))
                        .count());
    }

    private static Handler collector(List<LogRecord> lines) {
        return new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(line);
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
    }
}
