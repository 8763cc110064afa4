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
 * A supervisor with processes in place of balancers. Its clock is virtual, so that no test waits
 * for a timeout.
 */
class SupervisorRoleTest {
    private static final long SECOND = 1_000_000;

    /**
     * Number of polls, one every 20 ms, after which a condition must hold that depends on a
     * process.
     */
    private static final int MAX_POLLS = 3_000;

    @TempDir Path folder;
    private final List<String> logLines = new ArrayList<>();
    private SupervisorConfig config;
    private SupervisorRole role;
    private long now;

    @BeforeEach
    void writePrograms() throws Exception {
        writeProgram("good", "ok");
        writeProgram("next", "ok");
        writeProgram("crashing", "crashes");
        writeProgram("sleeping", "never ready");
        List<String> addresses = new ArrayList<>();
        try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ServerSocket second = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            addresses.add("\"127.0.0.1:" + first.getLocalPort() + "\"");
            addresses.add("\"127.0.0.1:" + second.getLocalPort() + "\"");
        }
        config =
                SupervisorConfigReader.read(
                        Files.writeString(
                                folder.resolve("supervisor.toml"),
                                "programs = \""
                                        + folder
                                        + "\"\nprogram = \"good\"\nstate = \""
                                        + folder.resolve("state")
                                        + "\"\ndoors = "
                                        + addresses
                                        + "\n"
                                        + "options = [\"-Xshare:auto\","
                                        + " \"-XX:TieredStopAtLevel=1\"]\n"));
        startRole();
    }

    private void writeProgram(String name, String behavior) throws IOException {
        writeProgram(name, behavior, "load-balancer.jar");
    }

    private void writeProgram(String name, String behavior, String jarName) throws IOException {
        Files.createDirectories(folder.resolve(name));
        Files.writeString(folder.resolve(name).resolve("behavior"), behavior);
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, FakeBalancer.class.getName());
        String entry = FakeBalancer.class.getName().replace('.', '/') + ".class";
        try (OutputStream out = Files.newOutputStream(folder.resolve(name).resolve(jarName));
                JarOutputStream jar = new JarOutputStream(out, manifest)) {
            jar.putNextEntry(new ZipEntry(entry));
            FakeBalancer.class.getClassLoader().getResourceAsStream(entry).transferTo(jar);
        }
    }

    private void startRole() throws IOException {
        role = new SupervisorRole(config, now, new Random(1), logLines::add);
    }

    @AfterEach
    void killProcesses() throws Exception {
        role.close();
        for (SupervisedProcessRecord record :
                SupervisedProcessRecord.readAll(config.stateFolder())) {
            ProcessHandle process = record.findProcess().orElse(null);
            if (process != null) {
                process.destroyForcibly();
                process.onExit().get();
            }
        }
    }

    /** Polls until the condition holds; the supervisor's clock advances with real time. */
    private void pollUntil(BooleanSupplier condition) throws Exception {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            now += SECOND / 50;
            role.poll(now, now);
            Thread.sleep(20);
        }
        assertTrue(condition.getAsBoolean(), logLines.toString());
    }

    private boolean isLogged(String text) {
        return logLines.stream().anyMatch(line -> line.contains(text));
    }

    private List<SupervisedProcessRecord> alive() {
        try {
            return SupervisedProcessRecord.readAll(config.stateFolder()).stream()
                    .filter(record -> record.findProcess().isPresent())
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    @Test
    void successorTakesOverUnlessItFails() throws Exception {
        pollUntil(() -> isLogged("now serving with good"));
        role.setDesired(new Variant("next", ""), new Variant("good", ""));
        pollUntil(() -> isLogged("now serving with next") && alive().size() == 1);
        role.setDesired(new Variant("crashing", ""), new Variant("next", ""));
        pollUntil(() -> isLogged("crashing exits before it is ready; rolling back to next"));
        role.setDesired(new Variant("sleeping", ""), new Variant("next", ""));
        for (int i = 0; i < 3; i++) {
            int attempts = i + 1;
            pollUntil(
                    () ->
                            logLines.stream()
                                            .filter(line -> line.matches("started .* of sleeping"))
                                            .count()
                                    == attempts);
            now += ProcessSupervisor.READY_TIMEOUT_MICROS;
        }
        pollUntil(() -> isLogged("sleeping is not ready after 60 s; rolling back to next"));
        role.setDesired(new Variant("missing", ""), new Variant("next", ""));
        pollUntil(
                () ->
                        isLogged("load-balancer.jar does not exist")
                                && isLogged("missing exits before it is ready; rolling back"));
        pollUntil(() -> alive().size() == 1);
        assertEquals("next", alive().get(0).variant().program());
        assertEquals(
                1,
                logLines.stream().filter(line -> line.contains("now serving with next")).count());
    }

    @Test
    void startsJarOfFormerName() throws Exception {
        writeProgram("older", "ok", "yewyoke.jar");
        pollUntil(() -> isLogged("now serving with good"));
        role.setDesired(new Variant("older", ""), new Variant("good", ""));
        pollUntil(() -> isLogged("now serving with older") && alive().size() == 1);
    }

    @Test
    void prefersJarOfNewName() throws Exception {
        writeProgram("both", "ok", "load-balancer.jar");
        Files.writeString(folder.resolve("both").resolve("yewyoke.jar"), "not a jar");
        pollUntil(() -> isLogged("now serving with good"));
        role.setDesired(new Variant("both", ""), new Variant("good", ""));
        pollUntil(() -> isLogged("now serving with both") && alive().size() == 1);
    }

    @Test
    void identifiesProcessByOptionOfEarlierVersions() throws Exception {
        SupervisedProcessRecord record =
                new SupervisedProcessRecord(
                        "m", 0, 0, new Variant("good", ""), config.adminAddresses().get(0));
        assertEquals("-Dyewyoke.kept=m", record.idArgument());
    }

    @Test
    void nextSupervisorAdoptsProcess() throws Exception {
        pollUntil(() -> isLogged("now serving with good"));
        SupervisedProcessRecord before = alive().get(0);
        assertThrows(IOException.class, this::startRole, "the state folder is locked");
        role.close();
        assertTrue(AdminClient.isReady(before.adminAddress()));
        // The supervisor was killed before it recorded the pid: the process is found by its id.
        new SupervisedProcessRecord(before.id(), 0, 0, before.variant(), before.adminAddress())
                .write(config.stateFolder());
        // A recorded pid that now belongs to another process is ignored.
        new SupervisedProcessRecord(
                        "other",
                        ProcessHandle.current().pid(),
                        1,
                        before.variant(),
                        before.adminAddress())
                .write(config.stateFolder());
        logLines.clear();
        startRole();
        pollUntil(() -> isLogged("now serving with good"));
        assertFalse(isLogged("started"), logLines.toString());
        assertEquals(1, alive().size());
        ProcessHandle.of(before.pid()).get().destroyForcibly();
        pollUntil(() -> isLogged("started"));
        pollUntil(() -> alive().size() == 1 && AdminClient.isReady(alive().get(0).adminAddress()));
    }

    /** Returns the plan with the lowest number whose order begins with the given member. */
    private String planBeginningWith(String member, Map<String, String> zones) throws Exception {
        String digest = Digests.ofPath(folder.resolve("next"));
        int number = 0;
        String text;
        do {
            number++;
            text = PlanFile.withZones(planText(number, digest), zones);
        } while (RolloutOrder.of(PlanFile.parse(text)).position(member) != 0);
        return text;
    }

    private static String planText(int number, String digest) {
        return """
        id = "p%d"
        number = %d
        program = "next"
        digest = "sha256:%s"
        stages = [0.4, 1.0]
        floor = 0.6
        [exposure]
        before = 150
        requests = 1
        seconds = 30
        longest = 3600
        [margins]
        processor = 1.0
        memory = 1.0
        """
                .formatted(number, number, digest);
    }

    @Test
    void planChangesProgramAndHaltRollsBack() throws Exception {
        Map<String, String> zones = Map.of("b0", "", "b1", "", "b2", "");
        EchoingSharedState shared = new EchoingSharedState();
        String text = planBeginningWith("b0", zones);
        RolloutController rollout = role.join(shared);
        pollUntil(() -> isLogged("now serving with good"));
        rollout.submit(now, text, zones);
        for (int i = 0; i < 600 && !isLogged("changing to next"); i++) {
            now += SECOND;
            role.poll(now, now);
        }
        pollUntil(() -> isLogged("now serving with next"));
        role.close();
        logLines.clear();
        startRole();
        rollout = role.join(shared);
        pollUntil(() -> isLogged("now serving with next"));
        String key = PlanFile.parse(text).key();
        shared.raiseFlag(now, "rollout/halt/" + key, "requested by an operator".getBytes());
        for (int i = 0; i < 15; i++) {
            now += SECOND;
            role.poll(now, now);
        }
        pollUntil(
                () ->
                        isLogged("rolling back to good: b0: requested by an operator")
                                && isLogged("now serving with good"));
        assertEquals("no plan", rollout.status());
    }

    @Test
    void rejectsInvalidFileWithItsKey() throws Exception {
        String good = Files.readString(folder.resolve("supervisor.toml"));
        for (String[] row :
                new String[][] {
                    {"programs", "programmes", "programmes: unknown key"},
                    {"doors = [", "doors = [\"127.0.0.1:x\",", "doors: expected an address"},
                    {"program = \"good\"", "", "program: expected a non-empty string"},
                    {"options = [", "options = [1, ", "options: "},
                    {"doors = [", "doors = [\"127.0.0.1:1\", ", "doors: expected two"},
                    {"state = ", "state ", "line 3: "}
                }) {
            Path path = Files.writeString(folder.resolve("bad.toml"), good.replace(row[0], row[1]));
            String message =
                    assertThrows(
                                    InvalidInputException.class,
                                    () -> SupervisorConfigReader.read(path))
                            .getMessage();
            assertTrue(message.startsWith(path + " " + row[2]), message);
        }
    }
}
