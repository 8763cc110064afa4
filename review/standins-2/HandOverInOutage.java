import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Discovery has told a drain and goes down for 8 s, in which a process takes over. It starts from
 * the list of its configuration, and nobody tells it what the process before it knew.
 */
final class HandOverInOutage {
    private static final long DOWN_MILLIS = 8_000;

    /** Where the machine is so slow that the yes comes late, discovery is down for longer. */
    private static final long DOWN_AFTER_YES_MILLIS = 5_000;

    private static final long READY_MILLIS = 30_000;
    private static final long GRACE_MILLIS = 2_050;
    private static final long MEASURING_MILLIS = 100;
    private static final long KILL_MILLIS = 3_700;

    private HandOverInOutage() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, HandOverInOutage::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        Discovery discovery = new Discovery(rig, "discovery", site.servers);
        Path config = site.config(discovery.address);
        Files.writeString(
                config,
                Files.readString(config)
                        .replaceFirst("\"known\": \\{.*\\}", "\"known\": " + discovery.whole()));
        rig.note("the configuration: " + Files.readString(config).replaceAll("\\s+", " "));
        Rig.Program first = rig.balancer("first", config, null, Rig.freeAddress());
        Rig.require(30_000, "the first process is ready", () -> Rig.isReady(first));
        Clients clients = new Clients(rig, site.listen, 30, 200, 600);
        Rig.pause(5_000);
        Server drained = site.servers.get(1);
        discovery.drain(drained);
        long toldAt = rig.now();
        Rig.require(
                1_500,
                "the first process avoids the drained server",
                () -> Rig.stat(first, "app.skipped_upstreams") == 1);
        rig.note("the first process avoids one server");
        if (rig.trouble) {
            rig.note("discovery goes down");
            discovery.goDown();
        }
        long downAt = rig.now();
        Rig.Program second = rig.balancer("second", config, null, Rig.freeAddress());
        Rig.require(READY_MILLIS, "the second process is ready", () -> Rig.isReady(second));
        long yesAt = rig.now();
        rig.terminate(first);
        if (first.process.waitFor(KILL_MILLIS, TimeUnit.MILLISECONDS)) {
            rig.note("the first process has ended with " + first.process.exitValue());
        } else {
            rig.kill(first);
        }
        long upAt = Math.max(downAt + DOWN_MILLIS, yesAt + DOWN_AFTER_YES_MILLIS);
        Rig.pause(Math.max(0, upAt - rig.now()));
        if (rig.trouble) {
            discovery.comeBack();
        }
        Rig.pause(5_000);
        clients.stop();
        long from = Math.max(toldAt, yesAt) + GRACE_MILLIS + MEASURING_MILLIS;
        List<Server.Ran> late = drained.ranAfter(from);
        if (!late.isEmpty()) {
            rig.note(
                    String.format(
                            "%s got %d requests later than %d ms after the yes, from %.3f to"
                                    + " %.3f s after the drain was told",
                            drained.name,
                            late.size(),
                            GRACE_MILLIS,
                            (late.get(0).atMillis() - toldAt) / 1e3,
                            (late.get(late.size() - 1).atMillis() - toldAt) / 1e3));
        }
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        if (clients.served.get() < 50) {
            throw new Rig.CannotRun("too few requests were served");
        }
        return late.isEmpty();
    }
}
