import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process takes over while the control machine is lost: it goes by the state that it read at its
 * start, although the process before it had a later one in force and has stored it.
 */
final class OldStateInHandOver {
    private static final long GRACE_MILLIS = 2_050;
    private static final long MEASURING_MILLIS = 100;
    private static final long KILL_MILLIS = 3_700;

    private OldStateInHandOver() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, OldStateInHandOver::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        Rig.Program writer = rig.control("writer", site.writerFile());
        rig.change(site.writer, site.firstChange());
        Path config = site.config();
        Path operator = site.operator(true, site.writer);
        Rig.Program first = rig.balancer("first", config, operator, Rig.freeAddress());
        Rig.require(30_000, "the first process is ready", () -> Rig.isReady(first));
        Clients clients = new Clients(rig, site.listen, 30, 200, 600);
        Rig.pause(5_000);
        Rig.Program second = rig.balancer("second", config, operator, Rig.freeAddress());
        Rig.require(20_000, "the second process has read its files", () -> isCreated(second));
        rig.note("the second process says: " + Rig.ops(second, "READY"));
        Server drained = site.servers.get(1);
        long revision = rig.change(site.writer, Site.drain(drained));
        Rig.require(2_000, "the drain is in force", () -> Rig.revision(first) >= revision);
        long toldAt = rig.now();
        rig.note("the drain of " + drained.name + " is in force at the first process");
        if (rig.trouble) {
            rig.kill(writer);
        }
        Rig.require(30_000, "the second process is ready", () -> Rig.isReady(second));
        long yesAt = rig.now();
        rig.terminate(first);
        if (first.process.waitFor(KILL_MILLIS, TimeUnit.MILLISECONDS)) {
            rig.note("the first process has ended with " + first.process.exitValue());
        } else {
            rig.kill(first);
        }
        Rig.pause(8_000);
        clients.stop();
        rig.note(
                "in force at the second process: "
                        + Rig.revision(second)
                        + ", it was "
                        + revision
                        + " at the first");
        long from = Math.max(toldAt, yesAt) + GRACE_MILLIS + MEASURING_MILLIS;
        List<Server.Ran> late = drained.ranAfter(from);
        if (!late.isEmpty()) {
            rig.note(
                    String.format(
                            "%s got %d requests more than %d ms after it was told and ready, the"
                                    + " last %.3f s after the drain was in force",
                            drained.name,
                            late.size(),
                            GRACE_MILLIS,
                            (late.get(late.size() - 1).atMillis() - toldAt) / 1e3));
        }
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        if (clients.served.get() < 50) {
            throw new Rig.CannotRun("too few requests were served");
        }
        return late.isEmpty();
    }

    /** Whether the process has read its files: from then on it waits for clients or for a list. */
    private static boolean isCreated(Rig.Program second) {
        String answer = Rig.ops(second, "READY");
        return !answer.isEmpty() && !answer.contains("starting");
    }
}
