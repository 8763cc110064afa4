package loadbalancer.rollout.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What operators write, who comes when, and what lies on the disk. */
class PlanTest {
    private static final String JUNK = "[]{}\"=.0-\n\0e#";

    @TempDir Path folder;

    /** The example of the operators' page. */
    private static String example() throws IOException {
        String page = Files.readString(Path.of("docs", "rollout.md"));
        int from = page.indexOf("```toml\n") + 8;
        return page.substring(from, page.indexOf("```", from));
    }

    private static Map<String, String> fleet(int members) {
        Map<String, String> zones = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            zones.put("b" + i, "z" + i % 3);
        }
        return zones;
    }

    @Test
    void thePagesExampleIsGood() throws Exception {
        Plan plan = PlanFile.read(PlanFile.withZones(example(), fleet(12)));
        assertEquals("smaller-pool", plan.id());
        assertEquals(Change.Kind.PROGRAM, plan.change().kind());
        assertEquals(fleet(12), plan.zones());
        assertEquals(10, plan.least());
        assertEquals(0.005, plan.classes().get("book").get(Metric.SERVED));
        assertEquals(0.01, plan.classes().get("book").get(Metric.LATE), "as for all classes");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "number = 12 | number = 0 | number: expected a whole number from 1",
                "number = 12 | number = 12^colour = 1 | colour: unknown key; expected one of id,"
                        + " number",
                "number = 12 | number = 12^number = 13 | plan line 4: Duplicate key",
                "\"2.1\" | \"../2.1\" | program: expected 1 to 48 letters",
                "\"2.1\" | \"2.1\"^operator = \"b\" | program: expected either program or operator",
                "sha256:0 | sha1:0 | digest: expected sha256:",
                "[0.1, | [0.4, | stages 2: expected shares of the fleet that rise to 1.0",
                ", 1.0] | ] | stages: expected 1 to 20 shares of the fleet that rise to 1.0",
                "floor = 0.8 | floor = 0.2 | floor: expected a number from 0.5 to 1",
                "floor = 0.8 | floor = 0.99 | floor: leaves no balancer to change in a fleet of 12",
                "[0.1, | [0.05, | stages 1: adds no balancer in a fleet of 12",
                "longest = 3600 | longest = 200 | exposure.longest: expected a whole number from"
                        + " 360",
                "requests = 20000 | | exposure.requests: expected a whole number",
                "processor = 0.2 | processor = -1 | margins.processor: expected a number",
                "[class.book] | [class.book]^memory = 0.1 | class.book.memory: unknown key",
                "[class.book] | [class.\"-\"] | class.-: expected at most 8 classes"
            })
    void aBadOneIsRefusedWithItsPlace(String what, String by, String message) throws Exception {
        String text = example();
        assertTrue(text.contains(what), what);
        String bad = text.replace(what, by == null ? "" : by.replace("^", "\n"));
        String said =
                assertThrows(
                                InvalidPlanException.class,
                                () -> PlanFile.read(PlanFile.withZones(bad, fleet(12))))
                        .getMessage();
        assertTrue(said.startsWith(message), said);
        assertEquals(1, said.lines().count());
    }

    /** It may come from any member: nothing but a refusal may come of it. */
    @Test
    void whateverIsReadIsAPlanOrRefused() throws Exception {
        String text = PlanFile.withZones(example(), fleet(12));
        Random random = new Random(1);
        int refused = 0;
        for (int i = 0; i < 2_000; i++) {
            StringBuilder bad = new StringBuilder(text);
            for (int j = random.nextInt(5); j >= 0; j--) {
                bad.setCharAt(
                        random.nextInt(bad.length()), JUNK.charAt(random.nextInt(JUNK.length())));
            }
            refused += refused(bad.toString()) ? 1 : 0;
        }
        assertTrue(refused > 1_000, "refused: " + refused);
        assertTrue(refused("a=" + "[".repeat(16_000)));
        assertTrue(refused("a" + ".a".repeat(8_000) + "=1"));
        assertTrue(refused("number = 1e999999999"));
        assertTrue(refused("#".repeat(PlanFile.LONGEST + 1)));
    }

    private static boolean refused(String text) {
        try {
            PlanFile.read(text);
            return false;
        } catch (InvalidPlanException e) {
            assertEquals(1, e.getMessage().lines().count());
            return true;
        }
    }

    @Property(tries = 100, seed = "7")
    void eachBeginningOfTheOrderHoldsOfEachZoneItsShare(
            @ForAll @IntRange(min = 5, max = 100) int members,
            @ForAll @IntRange(min = 1, max = 6) int zones,
            @ForAll int id) {
        Map<String, String> fleet = new TreeMap<>();
        Random random = new Random(id);
        for (int i = 0; i < members; i++) {
            fleet.put("b" + i, "z" + random.nextInt(zones));
        }
        Order order = Order.of("plan" + id, fleet, List.of(1.0));
        assertEquals(fleet.keySet(), new java.util.TreeSet<>(order.names()));
        for (String zone : new java.util.TreeSet<>(fleet.values())) {
            double share = fleet.values().stream().filter(zone::equals).count() / (double) members;
            for (int n = 1; n <= members; n++) {
                long held =
                        order.names().subList(0, n).stream()
                                .map(fleet::get)
                                .filter(zone::equals)
                                .count();
                assertEquals(share * n, held, zones / 2.0 + 1, zone + " in the first " + n);
            }
        }
    }

    @Test
    void theOrderFollowsFromNamesZonesAndPlanAlone() {
        Map<String, String> turned = new java.util.LinkedHashMap<>();
        List<String> names = new java.util.ArrayList<>(fleet(30).keySet());
        java.util.Collections.reverse(names);
        names.forEach(n -> turned.put(n, fleet(30).get(n)));
        List<String> order = Order.of("x", fleet(30), List.of(1.0)).names();
        assertEquals(order, Order.of("x", turned, List.of(1.0)).names());
        assertNotEquals(
                order, Order.of("y", fleet(30), List.of(1.0)).names(), "not always the same first");
    }

    @Test
    void aShareIsNeverRoundedUp() {
        assertEquals(1, Order.target(0.1, 19));
        assertEquals(29, Order.target(0.29, 100));
        assertEquals(7, Order.target(0.7, 10));
        assertEquals(5, Order.target(0.5, 11));
    }

    @Test
    void aFoldersDigestIsThatOfItsSortedNamesAndContents() throws Exception {
        Files.createDirectories(folder.resolve("p/lib"));
        Files.writeString(folder.resolve("p/yewyoke.jar"), "jar");
        Files.writeString(folder.resolve("p/lib/a.jar"), "a");
        String digest = Digests.of(folder.resolve("p"));
        // (cd p; find . -type f | sed 's|^./||' | LC_ALL=C sort | xargs sha256sum | sha256sum)
        assertEquals("25c112a0002cfb211c04f319e769924dab21e5f6f23278202d3c20efa80c0214", digest);
        Files.move(folder.resolve("p/lib/a.jar"), folder.resolve("p/lib/b.jar"));
        assertNotEquals(digest, Digests.of(folder.resolve("p")));
        Files.createSymbolicLink(folder.resolve("p/link"), folder.resolve("elsewhere"));
        assertThrows(IOException.class, () -> Digests.of(folder.resolve("p")));
        assertThrows(IOException.class, () -> Digests.of(folder.resolve("missing")));
    }
}
