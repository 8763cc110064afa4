package loadbalancer.faults.process.topology;

import java.util.Locale;

/** A balancer's configuration as the rig's runs have it. */
public final class ConfigText {
    /** How long after word of a drain an upstream may still get something new, in microseconds. */
    public static final long GRACE = 2_000_000;

    private static final int TRIES = 3;

    private ConfigText() {}

    /** That of a balancer; the others differ by addresses, place and seed only. */
    public static String of(Topology topology, int balancer) {
        return of(topology, balancer, TRIES);
    }

    /** The same with fewer attempts, as new settings may have it. */
    public static String withFewerTries(Topology topology, int balancer) {
        return of(topology, balancer, TRIES - 1);
    }

    /** One that was written by halves. */
    public static String broken(Topology topology, int balancer) {
        String whole = of(topology, balancer);
        return whole.substring(0, whole.length() / 2);
    }

    private static String of(Topology topology, int balancer, int tries) {
        Deployment deployment = topology.deployment();
        return String.format(
                Locale.ROOT,
                """
                {"listen":"%s","discovery":"%s","seed":"%x","limits":{"sockets":512},
                "known":{"version":0,"full":true,"servers":[]},
                "settings":{"az":%d,"localities":["a","b"],"kinds":["fast","middle","slow"],
                "position":%d,"group-size":%d,"classes":[%s,%s,%s],
                "parties":[{"name":"acme","share":1,"allowance-per-s":0}],"over-share-worth":0.1,
                "ceilings":{"try-limit":%d,"may-duplicate":%b,"cancel":true,"probes":false,"peers":false,
                "max-open":20000,"retry-after":true,"max-retry-after-s":2,"connect-timeout-s":0.25,
                "conn-idle-s":30,"multiplex":1},
                "rules":{"answer-slack-s":0.02,"ask-within-s":10,"cold-s":%.1f,"drain-grace-s":%.1f,
                "fall-multiple":3,"fall-s":3,"start-capacity":%.2f},
                "prices":{"cross-zone":0.01,"waste":0.035,"probe":0,"peer":0,"late-fail":0.03,
                "handshake":0.02},
                "report":{"names":["cpu","active","waiting"],"via":"piggyback"},"weights":"rough",
                "discovery":"%s","extra":{"warm-keys":true},"tick-s":0.005}}
                """,
                Topology.text(topology.listen(balancer)),
                Topology.text(topology.discovery(balancer)),
                0x1f + balancer,
                balancer % 2,
                balancer,
                topology.balancers(),
                requestClass(deployment, "lookup", "free"),
                requestClass(deployment, "push", "guarded"),
                requestClass(deployment, "once", "single_shot"),
                tries,
                deployment.secondCopies(),
                deployment.coldMs() / 1e3,
                GRACE / 1e6,
                deployment.startCapacity(),
                deployment.discovery());
    }

    private static String requestClass(Deployment deployment, String name, String repeat) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"repeat\":\"%s\",\"dedup-scope\":\"%s\","
                        + "\"memory-span-s\":%.1f,\"aim-s\":%.2f,\"give-up-s\":%.2f,\"worth\":5,"
                        + "\"late-worth\":0.2}",
                name,
                repeat,
                deployment.scope(),
                deployment.windowMs() / 1e3,
                deployment.longestMs() / 3e3,
                deployment.longestMs() / 1e3);
    }
}
