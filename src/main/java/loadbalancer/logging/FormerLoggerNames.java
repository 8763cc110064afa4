package loadbalancer.logging;

import java.util.Map;
import java.util.TreeMap;

/**
 * Maps logger names of earlier versions, whose root package was {@value #FORMER_ROOT}, to the
 * current ones, so that levels in operators' files stay effective. Stateless and thread-safe.
 */
final class FormerLoggerNames {
    private static final String FORMER_ROOT = "yewyoke";
    private static final String ROOT = "loadbalancer";

    /** Former packages and classes that were renamed in more than the root package. */
    private static final Map<String, String> RENAMED =
            Map.ofEntries(
                    Map.entry("yewyoke.decide", "loadbalancer.policy"),
                    Map.entry("yewyoke.exchange", "loadbalancer.proxy"),
                    Map.entry("yewyoke.http1.client", "loadbalancer.http1.downstream"),
                    Map.entry("yewyoke.ops", "loadbalancer.admin"),
                    Map.entry("yewyoke.state", "loadbalancer.snapshot"),
                    Map.entry("yewyoke.fleet.member", "loadbalancer.fleet.membership"),
                    Map.entry("yewyoke.fleet.share", "loadbalancer.fleet.replication"),
                    Map.entry("yewyoke.fleet.wire", "loadbalancer.fleet.codec"),
                    Map.entry("yewyoke.fleet.link", "loadbalancer.fleet.transport"),
                    Map.entry("yewyoke.rollout.verdict", "loadbalancer.rollout.analysis"),
                    Map.entry("yewyoke.calendar", "loadbalancer.schedule"),
                    Map.entry("yewyoke.calendar.agree", "loadbalancer.schedule.agreement"),
                    Map.entry("yewyoke.calendar.steer", "loadbalancer.schedule.weighting"),
                    Map.entry("yewyoke.node.parent", "loadbalancer.node.supervisor"),
                    Map.entry("yewyoke.lab.rival", "loadbalancer.lab.baseline"),
                    Map.entry("yewyoke.ops.Door", "loadbalancer.admin.AdminConnectionHandler"),
                    Map.entry(
                            "yewyoke.http1.upstream.Connection",
                            "loadbalancer.http1.upstream.UpstreamConnection"),
                    Map.entry(
                            "yewyoke.http1.client.AcceptFailures",
                            "loadbalancer.http1.downstream.AcceptFailureHandler"),
                    Map.entry(
                            "yewyoke.http1.client.Drain",
                            "loadbalancer.http1.downstream.GracefulShutdown"),
                    Map.entry(
                            "yewyoke.http1.client.Session",
                            "loadbalancer.http1.downstream.ClientConnection"),
                    Map.entry(
                            "yewyoke.fleet.link.UdpLink",
                            "loadbalancer.fleet.transport.UdpTransport"),
                    Map.entry("yewyoke.exchange.Driver", "loadbalancer.proxy.RequestDispatcher"));

    private FormerLoggerNames() {}

    /** Returns whether a logger or package name is one of an earlier version. */
    static boolean isFormer(String name) {
        return name.equals(FORMER_ROOT) || name.startsWith(FORMER_ROOT + ".");
    }

    /** Returns the current name of a logger or package; any other name is returned unchanged. */
    static String current(String name) {
        if (!isFormer(name)) {
            return name;
        }
        String prefix = name;
        while (!prefix.equals(FORMER_ROOT)) {
            String renamed = RENAMED.get(prefix);
            if (renamed != null) {
                return renamed + name.substring(prefix.length());
            }
            prefix = prefix.substring(0, prefix.lastIndexOf('.'));
        }
        return ROOT + name.substring(FORMER_ROOT.length());
    }

    /**
     * Returns levels by current logger names. A level under the current name takes precedence over
     * one under a former name.
     */
    static Map<String, String> current(Map<String, String> levels) {
        Map<String, String> currentLevels = new TreeMap<>();
        new TreeMap<>(levels)
                .forEach((name, level) -> currentLevels.putIfAbsent(current(name), level));
        levels.forEach(
                (name, level) -> {
                    if (!isFormer(name)) {
                        currentLevels.put(name, level);
                    }
                });
        return currentLevels;
    }
}
