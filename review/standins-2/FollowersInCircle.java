import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The writer's process is lost and started again. Two followers name the writer and, to take over
 * from, each other; the balancer is served by the two.
 */
final class FollowersInCircle {
    private static final long GRACE_MILLIS = 8_000;
    private static final long TOLD_MILLIS = 8_000;

    private FollowersInCircle() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, FollowersInCircle::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        String one = Rig.freeAddress();
        String two = Rig.freeAddress();
        Path writerFile = site.writerFile();
        Rig.Program writer = rig.control("writer", writerFile);
        rig.change(site.writer, site.firstChange());
        rig.control("follower-1", site.followerFile("follower-1", one, site.writer, two));
        rig.control("follower-2", site.followerFile("follower-2", two, site.writer, one));
        Rig.Program balancer =
                rig.balancer(
                        "balancer", site.config(), site.operator(true, one, two), Rig.freeAddress());
        Rig.require(30_000, "the balancer is ready", () -> Rig.isReady(balancer));
        Clients clients = new Clients(rig, site.listen, 10, 200, 600);
        Rig.pause(5_000);
        if (rig.trouble) {
            rig.kill(writer);
            Rig.pause(5_000);
            rig.control("writer", writerFile);
                Rig.pause(10_000);
        }
        Server drained = site.servers.get(1);
        Path change = rig.write("drain.json", Site.drain(drained));
        Rig.Output output =
                rig.tool(30, "control", "change", "--to", site.writer, "--wait", "8", change.toString());
        rig.note("control change --wait 8 ends with " + output.code() + ": " + output.text());
        long acceptedAt = rig.now();
        long revision = 2;
        boolean isInForce = Rig.await(20_000, () -> Rig.revision(balancer) >= revision);
        rig.note(
                String.format(
                        "%.1f s after that, in force at the balancer: %d",
                        (rig.now() - acceptedAt) / 1e3, Rig.revision(balancer)));
        Rig.pause(4_000);
        clients.stop();
        List<Server.Ran> late = drained.ranAfter(acceptedAt + TOLD_MILLIS);
        rig.note(drained.name + " got " + late.size() + " requests later than 8 s after that");
        for (String machine : List.of(site.writer, one, two)) {
            rig.note(rig.tool(20, "control", "status", "--from", machine).text());
        }
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        return isInForce && late.isEmpty();
    }
}
