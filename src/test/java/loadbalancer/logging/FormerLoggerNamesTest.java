package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the current names of loggers of the version before the program was renamed (e2911b3). */
class FormerLoggerNamesTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "yewyoke.node.Discovery",
                "yewyoke.node.StatePersistence",
                "yewyoke.node.control.server.FollowerStateFile",
                "yewyoke.node.control.server.WriterRole",
                "yewyoke.node.control.server.ChangePipeline",
                "yewyoke.node.control.ControlStatePersistence",
                "yewyoke.node.control.ControlBinding",
                "yewyoke.node.control.SubscriptionObserver",
                "yewyoke.node.Main",
                "yewyoke.node.Node",
                "yewyoke.node.FileLockSibling",
                "yewyoke.ops.Door",
                "yewyoke.http1.upstream.Connection",
                "yewyoke.http1.control.SubscriberChannel",
                "yewyoke.http1.control.SubscriberRunner",
                "yewyoke.http1.control.ControlConnection",
                "yewyoke.http1.client.AcceptFailures",
                "yewyoke.http1.client.Drain",
                "yewyoke.http1.client.Session",
                "yewyoke.lab.Runner",
                "yewyoke.exchange.Driver",
                "yewyoke.exchange.Violations",
                "yewyoke.exchange.LoadReports",
                "yewyoke.transport.SocketListener",
                "yewyoke.transport.ListenerOpening",
                "yewyoke.transport.RepeatingTask",
                "yewyoke.fleet.link.UdpLink"
            })
    void mapsEveryLoggerOfFormerVersionToExistingClass(String former) {
        String current = FormerLoggerNames.current(former);
        assertDoesNotThrow(
                () -> Class.forName(current, false, FormerLoggerNames.class.getClassLoader()),
                former + " -> " + current);
    }

    @ParameterizedTest
    @CsvSource({
        "yewyoke, loadbalancer",
        "yewyoke.node, loadbalancer.node",
        "yewyoke.node.StatePersistence, loadbalancer.node.StatePersistence",
        "yewyoke.exchange, loadbalancer.proxy",
        "yewyoke.exchange.Driver, loadbalancer.proxy.RequestDispatcher",
        "yewyoke.exchange.LoadReports, loadbalancer.proxy.LoadReports",
        "yewyoke.calendar.agree, loadbalancer.schedule.agreement",
        "yewyoke.fleet.link.UdpLink, loadbalancer.fleet.transport.UdpTransport",
        "loadbalancer.node, loadbalancer.node",
        "yewyokes.other, yewyokes.other",
        "io.netty, io.netty"
    })
    void mapsPackagesAndClassesToCurrentNames(String name, String current) {
        assertEquals(current, FormerLoggerNames.current(name));
    }

    @Test
    void keepsLevelsOfOtherLoggers() {
        assertEquals(
                Map.of("loadbalancer.node", "debug", "io.netty", "warn"),
                FormerLoggerNames.current(Map.of("yewyoke.node", "debug", "io.netty", "warn")));
        assertFalse(FormerLoggerNames.isFormer("loadbalancer.node"));
    }
}
