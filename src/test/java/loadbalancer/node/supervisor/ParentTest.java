package loadbalancer.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.zip.ZipEntry;
import loadbalancer.rollout.plan.Digests;
import loadbalancer.rollout.plan.PlanFile;
import loadbalancer.rollout.plan.RolloutOrder;
import loadbalancer.rollout.stage.RolloutController;
import loadbalancer.settings.InvalidInputException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The parent with real processes that play balancers. Time is handed in, so that no test waits for
 * limits.
 */
class ParentTest {
    private static final long SECOND = 1_000_000;

    /**
     * Looks of 20 ms until a real process must have done what it was started for: far above what it
     * takes.
     */
    private static final int PATIENCE = 3_000;

    @TempDir Path folder;
    private final List<String> lines = new ArrayList<>();
    private SupervisorFile file;
    private SupervisorRole parent;
    private long now;

    @BeforeEach
    void files() throws Exception {
        program("good", "ok");
        program("next", "ok");
        program("crashing", "crashes");
        program("sleeping", "never");
        List<String> doors = new ArrayList<>();
        try (ServerSocket a = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ServerSocket b = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            doors.add("\"127.0.0.1:" + a.getLocalPort() + "\"");
            doors.add("\"127.0.0.1:" + b.getLocalPort() + "\"");
        }
        file =
                SupervisorFile.read(
                        Files.writeString(
                                folder.resolve("parent.toml"),
                                "programs = \""
                                        + folder
                                        + "\"\nprogram = \"good\"\nstate = \""
                                        + folder.resolve("state")
                                        + "\"\ndoors = "
                                        + doors
                                        + "\n"
                                        + "options = [\"-Xshare:auto\","
                                        + " \"-XX:TieredStopAtLevel=1\"]\n"));
        begin();
    }

    private void program(String name, String fate) throws IOException {
        program(name, fate, "load-balancer.jar");
    }

    private void program(String name, String fate, String jarName) throws IOException {
        Files.createDirectories(folder.resolve(name));
        Files.writeString(folder.resolve(name).resolve("fate"), fate);
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, StandIn.class.getName());
        String entry = StandIn.class.getName().replace('.', '/') + ".class";
        try (OutputStream out = Files.newOutputStream(folder.resolve(name).resolve(jarName));
                JarOutputStream jar = new JarOutputStream(out, manifest)) {
            jar.putNextEntry(new ZipEntry(entry));
            StandIn.class.getClassLoader().getResourceAsStream(entry).transferTo(jar);
        }
    }

    private void begin() throws IOException {
        parent = new SupervisorRole(file, now, new Random(1), lines::add);
    }

    @AfterEach
    void end() throws Exception {
        parent.close();
        for (Record record : Record.all(file.state())) {
            ProcessHandle process = record.process().orElse(null);
            if (process != null) {
                process.destroyForcibly();
                process.onExit().get();
            }
        }
    }

    /** Looks while real time and the parent's advance together. */
    private void until(BooleanSupplier condition) throws Exception {
        for (int i = 0; i < PATIENCE && !condition.getAsBoolean(); i++) {
            now += SECOND / 50;
            parent.look(now, now);
            Thread.sleep(20);
        }
        assertTrue(condition.getAsBoolean(), lines.toString());
    }

    private boolean said(String line) {
        return lines.stream().anyMatch(l -> l.contains(line));
    }

    private List<Record> alive() {
        try {
            return Record.all(file.state()).stream().filter(r -> r.process().isPresent()).toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    @Test
    void aSuccessorTakesOverAndOneThatCantLeavesTheOldInPlace() throws Exception {
        until(() -> said("serves with good"));
        parent.want(new Variant("next", ""), new Variant("good", ""));
        until(() -> said("serves with next") && alive().size() == 1);
        parent.want(new Variant("crashing", ""), new Variant("next", ""));
        until(() -> said("crashing ends before it is ready; goes back to next"));
        parent.want(new Variant("sleeping", ""), new Variant("next", ""));
        for (int i = 0; i < 3; i++) {
            int tries = i + 1;
            until(
                    () ->
                            lines.stream().filter(l -> l.matches("started .* of sleeping")).count()
                                    == tries);
            now += ProcessSupervisor.READY_US;
        }
        until(() -> said("sleeping is not ready after 60 s; goes back to next"));
        parent.want(new Variant("missing", ""), new Variant("next", ""));
        until(
                () ->
                        said("load-balancer.jar is not there")
                                && said("missing ends before it is ready; goes back"));
        until(() -> alive().size() == 1);
        assertEquals("next", alive().get(0).variant().program());
        assertEquals(1, lines.stream().filter(l -> l.contains("serves with next")).count());
    }

    @Test
    void startsAProgramWhoseJarHasTheFormerName() throws Exception {
        program("older", "ok", "yewyoke.jar");
        until(() -> said("serves with good"));
        parent.want(new Variant("older", ""), new Variant("good", ""));
        until(() -> said("serves with older") && alive().size() == 1);
    }

    @Test
    void startsTheJarOfTheNewNameWhereAFolderHasBoth() throws Exception {
        program("both", "ok", "load-balancer.jar");
        Files.writeString(folder.resolve("both").resolve("yewyoke.jar"), "not a jar");
        until(() -> said("serves with good"));
        parent.want(new Variant("both", ""), new Variant("good", ""));
        until(() -> said("serves with both") && alive().size() == 1);
    }

    @Test
    void findsAProcessThatAnEarlierVersionMarked() throws Exception {
        Record record = new Record("m", 0, 0, new Variant("good", ""), file.doors().get(0));
        assertEquals("-Dyewyoke.kept=m", record.argument());
    }

    @Test
    void ifTheParentDiesServiceGoesOnAndTheNextFindsTheProcess() throws Exception {
        until(() -> said("serves with good"));
        Record before = alive().get(0);
        assertThrows(IOException.class, this::begin, "one at a time");
        parent.close();
        assertTrue(Call.ready(before.door()));
        // Killed between a start and its note: the process is found by its mark.
        new Record(before.mark(), 0, 0, before.variant(), before.door()).write(file.state());
        // The number of a process that has ended may be another's by now.
        new Record("other", ProcessHandle.current().pid(), 1, before.variant(), before.door())
                .write(file.state());
        lines.clear();
        begin();
        until(() -> said("serves with good"));
        assertFalse(said("started"), lines.toString());
        assertEquals(1, alive().size());
        ProcessHandle.of(before.pid()).get().destroyForcibly();
        until(() -> said("started"));
        until(() -> alive().size() == 1 && Call.ready(alive().get(0).door()));
    }

    @Test
    void aPlanChangesTheProgramAndAHaltBringsTheOldBack() throws Exception {
        Map<String, String> zones = Map.of("b0", "", "b1", "", "b2", "");
        Echo echo = new Echo();
        String text;
        int number = 0;
        do {
            number++;
            text =
                    PlanFile.withZones(
                            "id = \"p"
                                    + number
                                    + "\"\nnumber = "
                                    + number
                                    + "\nprogram = \"next\"\n"
                                    + "digest = \"sha256:"
                                    + Digests.ofPath(folder.resolve("next"))
                                    + "\"\n"
                                    + "stages = [0.4, 1.0]\n"
                                    + "floor = 0.6\n"
                                    + "[exposure]\n"
                                    + "before = 150\n"
                                    + "requests = 1\n"
                                    + "seconds = 30\n"
                                    + "longest = 3600\n"
                                    + "[margins]\n"
                                    + "processor = 1.0\n"
                                    + "memory = 1.0\n",
                            zones);
        } while (RolloutOrder.of(PlanFile.parse(text)).position("b0") != 0);
        RolloutController rollout = parent.join(echo);
        until(() -> said("serves with good"));
        rollout.submit(now, text, zones);
        for (int i = 0; i < 600 && !said("changes to next"); i++) {
            now += SECOND;
            parent.look(now, now);
        }
        until(() -> said("serves with next"));
        parent.close();
        lines.clear();
        begin();
        rollout = parent.join(echo);
        until(() -> said("serves with next"));
        String key = PlanFile.parse(text).key();
        echo.raiseFlag(now, "rollout/halt/" + key, "an operator's".getBytes());
        for (int i = 0; i < 15; i++) {
            now += SECOND;
            parent.look(now, now);
        }
        until(() -> said("goes back to good: b0: an operator's") && said("serves with good"));
        assertEquals("no plan", rollout.status());
    }

    @Test
    void aBadFileIsRefusedWithItsPlace() throws Exception {
        String good = Files.readString(folder.resolve("parent.toml"));
        for (String[] bad :
                new String[][] {
                    {"programs", "programmes", "programmes: unknown key"},
                    {"doors = [", "doors = [\"127.0.0.1:x\",", "doors: not an address"},
                    {"program = \"good\"", "", "program: expected a text"},
                    {"options = [", "options = [1, ", "options: "},
                    {"doors = [", "doors = [\"127.0.0.1:1\", ", "doors: expected two"},
                    {"state = ", "state ", "line 3: "}
                }) {
            Path path = Files.writeString(folder.resolve("bad.toml"), good.replace(bad[0], bad[1]));
            String said =
                    assertThrows(InvalidInputException.class, () -> SupervisorFile.read(path))
                            .getMessage();
            assertTrue(said.startsWith(path + " " + bad[2]), said);
        }
    }
}
