package loadbalancer.rollout.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlanFileTest {
    private static final String JUNK = "[]{}\"=.0-\n\0e#";

    /** Returns the example plan of the operators' documentation. */
    private static String example() throws IOException {
        String page = Files.readString(Path.of("docs", "rollout.md"));
        int from = page.indexOf("```toml\n") + 8;
        return page.substring(from, page.indexOf("```", from));
    }

    /** Returns a fleet with the given number of members in three zones. */
    static Map<String, String> fleet(int members) {
        Map<String, String> zones = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            zones.put("b" + i, "z" + i % 3);
        }
        return zones;
    }

    @Test
    void exampleOfTheDocumentationIsValid() throws Exception {
        Plan plan = PlanFile.parse(PlanFile.withZones(example(), fleet(12)));
        assertEquals("smaller-pool", plan.id());
        assertEquals(PlannedChange.Kind.PROGRAM, plan.change().kind());
        assertEquals(fleet(12), plan.zoneByMember());
        assertEquals(10, plan.minServing());
        assertEquals(0.005, plan.classMargins().get("book").get(Metric.NOT_SERVED_ON_TIME));
        assertEquals(
                0.01,
                plan.classMargins().get("book").get(Metric.SERVED_LATE),
                "margin of all classes");
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
                "[0.1, | [0.4, | stages 2: expected fractions of the fleet that increase to 1.0",
                ", 1.0] | ] | stages: expected 1 to 20 fractions of the fleet that increase to 1.0",
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
    void rejectsInvalidPlanNamingThePlace(String original, String replacement, String message)
            throws Exception {
        String text = example();
        assertTrue(text.contains(original), original);
        String invalid =
                text.replace(original, replacement == null ? "" : replacement.replace("^", "\n"));
        String rejection =
                assertThrows(
                                InvalidPlanException.class,
                                () -> PlanFile.parse(PlanFile.withZones(invalid, fleet(12))))
                        .getMessage();
        assertTrue(rejection.startsWith(message), rejection);
        assertEquals(1, rejection.lines().count());
    }

    /** Any member may send a plan, so invalid text must only lead to a rejection. */
    @Test
    void parsesOrRejectsCorruptedText() throws Exception {
        String text = PlanFile.withZones(example(), fleet(12));
        Random random = new Random(1);
        int rejected = 0;
        for (int i = 0; i < 2_000; i++) {
            StringBuilder mutated = new StringBuilder(text);
            for (int j = random.nextInt(5); j >= 0; j--) {
                mutated.setCharAt(
                        random.nextInt(mutated.length()),
                        JUNK.charAt(random.nextInt(JUNK.length())));
            }
            rejected += isRejected(mutated.toString()) ? 1 : 0;
        }
        assertTrue(rejected > 1_000, "rejected: " + rejected);
        assertTrue(isRejected("a=" + "[".repeat(16_000)));
        assertTrue(isRejected("a" + ".a".repeat(8_000) + "=1"));
        assertTrue(isRejected("number = 1e999999999"));
        assertTrue(isRejected("#".repeat(PlanFile.MAX_BYTES + 1)));
    }

    private static boolean isRejected(String text) {
        try {
            PlanFile.parse(text);
            return false;
        } catch (InvalidPlanException e) {
            assertEquals(1, e.getMessage().lines().count());
            return true;
        }
    }
}
