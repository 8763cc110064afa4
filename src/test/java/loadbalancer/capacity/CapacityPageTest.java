package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.capacity.CapacityPage.Figure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * docs/CAPACITY.md and the samples beside it must not part; and the check must see it where they
 * do.
 */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs", "CAPACITY.md");
    private static final Path SAMPLES = Path.of("docs", "capacity");

    @TempDir Path folder;

    private List<Figure> recompute(String rows, String prose) throws IOException {
        SampleFile.write(
                folder.resolve("cost.csv"),
                "",
                List.of(
                        new Sample("cost", "upstreams", 10, 1, 21, "us"),
                        new Sample("cost", "upstreams", 10, 2, 22, "us")));
        Path page =
                Files.writeString(
                        folder.resolve("page.md"),
                        "# Page\n\n"
                                + CapacityPage.HEAD
                                + "\n| --- | --- | --- | --- | --- |\n"
                                + rows
                                + "\n\n"
                                + prose
                                + '\n');
        return CapacityPage.recompute(page, folder);
    }

    @Test
    void thePageSaysWhatItsSamplesSay() throws IOException {
        List<Figure> figures = CapacityPage.recompute(PAGE, SAMPLES);
        assertFalse(figures.isEmpty());
        assertEquals(List.of(), figures.stream().filter(f -> !f.agrees()).toList());
    }

    @Test
    void everyNumberThatIsAlteredIsSeen() throws IOException {
        for (Figure figure : CapacityPage.recompute(PAGE, SAMPLES)) {
            char last = figure.printed().charAt(figure.printed().length() - 1);
            String altered =
                    figure.printed().substring(0, figure.printed().length() - 1)
                            + (char) ('0' + (last - '0' + 5) % 10);
            assertFalse(new Figure(figure.id(), altered, figure.recomputed()).agrees(), figure::id);
        }
    }

    @Test
    void thePageNamesEveryFileOfSamples() throws IOException {
        String page = Files.readString(PAGE);
        try (Stream<Path> files = Files.list(SAMPLES)) {
            assertEquals(
                    List.of(),
                    files
                            .map(f -> f.getFileName().toString())
                            .filter(name -> !page.contains(name))
                            .collect(Collectors.toCollection(TreeSet::new))
                            .stream()
                            .toList());
        }
    }

    @Test
    void figuresAreRoundedToTheirDigits() throws IOException {
        String row = "| mean_cost | %s | us | `mean(cost, upstreams, 10)` | cost.csv |";
        assertTrue(recompute(row.formatted("21.5"), "").get(0).agrees());
        assertTrue(recompute(row.formatted("22"), "").get(0).agrees());
        assertFalse(recompute(row.formatted("21.4"), "").get(0).agrees());
        assertFalse(recompute(row.formatted("23"), "").get(0).agrees());
    }

    @Test
    void figuresBuildOnThoseAboveThem() throws IOException {
        String rows =
                "| balancers | 860 | | 860 | target |\n"
                    + "| all_cost | 18,490 | us | balancers * mean(cost, upstreams, 10) | cost.csv"
                    + " |";
        assertTrue(recompute(rows, "").stream().allMatch(Figure::agrees));
    }

    @Test
    void quotedFiguresAreCheckedWhereTheyStand() throws IOException {
        String row = "| mean_cost | 21.5 | us | mean(cost, upstreams, 10) | cost.csv |";
        assertTrue(recompute(row, "It costs 22<!--mean_cost--> us.").get(1).agrees());
        assertFalse(recompute(row, "| 25<!--mean_cost--> us | 3 |").get(1).agrees());
        assertThrows(BadPage.class, () -> recompute(row, "It costs 22<!--other_cost--> us."));
        assertThrows(BadPage.class, () -> recompute(row, "It costs much<!--mean_cost-->."));
    }

    @Test
    void aTableThatCannotBeReadIsRefusedWithTheFiguresId() {
        String row = "| mean_cost | 21.5 | us | mean(cost, upstreams, 11) | cost.csv |";
        assertTrue(
                assertThrows(BadPage.class, () -> recompute(row, ""))
                        .getMessage()
                        .contains("mean_cost"));
        assertThrows(BadPage.class, () -> recompute("| a | 1 | 1 |", ""));
        assertThrows(
                BadPage.class, () -> recompute("| a | 1 | | 1 | - |\n| a | 1 | | 1 | - |", ""));
        assertThrows(BadPage.class, () -> recompute("| a | some | | 1 | - |", ""));
    }
}
