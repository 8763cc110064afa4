import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Servers begin to drain while one process of a balancer takes over from the other. The list
 * comes from a control machine.
 */
final class DrainInHandOver {
    private static final long GRACE_MILLIS = 2_050;
    private static final long MEASURING_MILLIS = 100;
    private static final long KILL_MILLIS = 3_700;

    /** So many that some send again for the first time in any half second after the signal. */
    private static final int CLIENTS = 200;

    private DrainInHandOver() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, DrainInHandOver::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        rig.control("writer", site.writerFile());
        rig.change(site.writer, site.firstChange());
        Path config = site.config();
        Path operator = site.operator(true, site.writer);
        Rig.Program first = rig.balancer("first", config, operator, Rig.freeAddress());
        Rig.require(30_000, "the first process is ready", () -> Rig.isReady(first));
        Clients clients = new Clients(rig, site.listen, CLIENTS, 2_800, 4_400);
        Rig.pause(12_000);
        List<Rig.Program> processes = new ArrayList<>(List.of(first));
        long termAt = rig.now();
        if (rig.trouble) {
            Rig.Program second = rig.balancer("second", config, operator, Rig.freeAddress());
            Rig.require(30_000, "the second process is ready", () -> Rig.isReady(second));
            termAt = rig.now();
            rig.terminate(first);
            processes.add(second);
        }
        Rig.Program told = processes.get(processes.size() - 1);
        Rig.pause(100);
        Server[] drained = {site.servers.get(1), site.servers.get(2)};
        long revision = rig.change(site.writer, Site.drain(drained));
        Rig.require(2_000, "the drain is in force", () -> Rig.revision(told) >= revision);
        long toldAt = rig.now();
        rig.note("the drain of u2 and u3 is in force at process " + told.name);
        if (rig.trouble) {
            long left = Math.max(1, termAt + KILL_MILLIS - rig.now());
            if (first.process.waitFor(left, TimeUnit.MILLISECONDS)) {
                rig.note("the first process has ended with " + first.process.exitValue());
            } else {
                rig.kill(first);
            }
        }
        Rig.pause(8_000);
        clients.stop();
        int late = 0;
        for (Server server : drained) {
            for (Server.Ran ran : server.ranAfter(toldAt + GRACE_MILLIS + MEASURING_MILLIS)) {
                late++;
                rig.note(
                        String.format(
                                "%s got %s %.3f s after the drain was in force",
                                server.name, ran.id(), (ran.atMillis() - toldAt) / 1e3));
            }
        }
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        if (clients.served.get() < 50) {
            throw new Rig.CannotRun("too few requests were served");
        }
        return late == 0;
    }
}
