import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The open watch is reset, and discovery is crowded: each call is answered, after 2.9 s. */
final class CrowdedDiscovery {
    /** Below 3 s, after which discovery ends a call that has waited too long. */
    private static final int WAIT_MILLIS = 2_900;

    private static final long TOLD_MILLIS = 6_000;
    private static final long GRACE_MILLIS = 2_050;
    private static final long MEASURING_MILLIS = 100;

    private CrowdedDiscovery() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, CrowdedDiscovery::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        Discovery discovery = new Discovery(rig, "discovery", site.servers);
        Rig.Program balancer =
                rig.balancer("balancer", site.config(discovery.address), null, Rig.freeAddress());
        Rig.require(30_000, "the balancer is ready", () -> Rig.isReady(balancer));
        Clients clients = new Clients(rig, site.listen, 20, 200, 600);
        Rig.pause(5_000);
        if (rig.trouble) {
            rig.note("each call to discovery waits " + WAIT_MILLIS + " ms from now on");
            discovery.setWaitMillis(WAIT_MILLIS);
        }
        rig.note("the open watch is reset");
        discovery.closeOpen();
        Rig.pause(500);
        Server drained = site.servers.get(1);
        discovery.drain(drained);
        long toldAt = rig.now() + TOLD_MILLIS;
        Rig.pause(20_000);
        List<Server.Ran> late = drained.ranAfter(toldAt + GRACE_MILLIS + MEASURING_MILLIS);
        rig.note(
                drained.name
                        + " got "
                        + late.size()
                        + " requests later than 2.05 s after the drain counts as told");
        discovery.setWaitMillis(0);
        Rig.pause(5_000);
        long endAt = rig.now();
        Rig.pause(4_000);
        rig.note(
                "from 5 s after the crowd on it got " + drained.ranAfter(endAt).size() + " requests");
        clients.stop();
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        if (clients.served.get() < 50) {
            throw new Rig.CannotRun("too few requests were served");
        }
        return late.isEmpty();
    }
}
