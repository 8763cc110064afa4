import java.io.IOException;
import java.nio.file.Path;

/** A process that takes its list from control machines is to take over, without a state folder. */
final class NeverReady {
    private static final long YES_MILLIS = 6_000;
    private static final long READY_MILLIS = 30_000;

    private NeverReady() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, NeverReady::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 2);
        rig.control("writer", site.writerFile());
        rig.change(site.writer, site.firstChange());
        Path config = site.config();
        Path operator = site.operator(false, site.writer);
        Clients clients = null;
        if (rig.trouble) {
            Rig.Program first = rig.balancer("first", config, operator, Rig.freeAddress());
            Rig.require(30_000, "the first process is ready", () -> Rig.isReady(first));
            clients = new Clients(rig, site.listen, 10, 200, 600);
            Rig.pause(5_000);
        }
        Rig.Program next = rig.balancer("next", config, operator, Rig.freeAddress());
        long startedAt = rig.now();
        boolean isReady = Rig.await(READY_MILLIS, () -> Rig.isReady(next));
        rig.note(
                String.format(
                        "%.1f s after its start the process says: %s",
                        (rig.now() - startedAt) / 1e3, Rig.ops(next, "READY")));
        if (isReady && rig.now() - startedAt > YES_MILLIS) {
            rig.note("later than 6 s; not judged, as the machine may be slow");
        }
        if (clients != null) {
            clients.stop();
            rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        }
        return isReady;
    }
}
