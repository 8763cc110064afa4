import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A new configuration moves discovery and adds a class without `aim-stretch`, a key that may be
 * absent and that the classes before have.
 */
final class NewClassRefused {
    private static final long TOLD_AFTER_SIGHUP_MILLIS = 4_000;
    private static final long TOLD_MILLIS = 6_000;
    private static final long GRACE_MILLIS = 2_050;
    private static final long MEASURING_MILLIS = 100;
    private static final String NEW_CLASS =
            "{\"name\": \"offer\", \"repeat\": \"free\", \"dedup-scope\": \"all\","
                    + " \"memory-span-s\": 5, \"aim-s\": 1.2, \"give-up-s\": 5, \"worth\": 5,"
                    + " \"late-worth\": 0.2}";

    private NewClassRefused() {}

    public static void main(String[] args) throws IOException {
        Rig.run(args, NewClassRefused::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Site site = new Site(rig, 3);
        Discovery old = new Discovery(rig, "the old discovery", site.servers);
        Discovery moved = new Discovery(rig, "the new discovery", site.servers);
        Path config = site.config(old.address);
        String before =
                Files.readString(config)
                        .replace("\"late-worth\": 0.2}", "\"late-worth\": 0.2, \"aim-stretch\": 1}");
        Files.writeString(config, before);
        Rig.Program balancer = rig.balancer("balancer", config, null, Rig.freeAddress());
        Rig.require(30_000, "the balancer is ready", () -> Rig.isReady(balancer));
        Clients clients = new Clients(rig, site.listen, 20, 200, 600);
        Rig.pause(5_000);
        Server drained = site.servers.get(1);
        long hupAt = rig.now();
        Clients newClients = null;
        if (rig.trouble) {
            String after =
                    before.replace(old.address, moved.address)
                            .replaceFirst("(?s)(\"classes\": \\[.*?)\\],", "$1, " + NEW_CLASS + "],");
            rig.note("the new configuration: " + after.replaceAll("\\s+", " "));
            Files.writeString(config, after);
            rig.note(rig.tool(20, "check", config.toString()).text());
            hupAt = rig.now();
            rig.note("SIGHUP to the balancer");
            new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + balancer.process.pid())
                    .start()
                    .waitFor();
            old.stopAccepting();
            Rig.pause(1_500);
            old.closeOpen();
            newClients = new Clients(rig, site.listen, 5, 200, 600, "offer");
            Rig.pause(1_000);
        }
        (rig.trouble ? moved : old).drain(drained);
        long toldAt = Math.max(hupAt + TOLD_AFTER_SIGHUP_MILLIS, rig.now() + TOLD_MILLIS);
        Rig.pause(18_000);
        clients.stop();
        rig.note(
                "loads "
                        + Rig.stat(balancer, "app.loads")
                        + ", load_errors "
                        + Rig.stat(balancer, "app.load_errors"));
        List<Server.Ran> late = drained.ranAfter(toldAt + GRACE_MILLIS + MEASURING_MILLIS);
        rig.note(
                drained.name
                        + " got "
                        + late.size()
                        + " requests later than 2.05 s after the drain counts as told");
        rig.note(clients.served + " served, " + clients.others + " answered otherwise");
        if (newClients != null) {
            newClients.stop();
            rig.note(
                    "of the new class "
                            + newClients.served
                            + " served, "
                            + newClients.others
                            + " answered otherwise");
        }
        if (clients.served.get() < 50) {
            throw new Rig.CannotRun("too few requests were served");
        }
        return late.isEmpty();
    }
}
