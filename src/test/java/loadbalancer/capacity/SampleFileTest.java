package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SampleFileTest {
    @TempDir Path folder;

    @Test
    void whatIsWrittenIsReadExactly() throws IOException {
        List<Sample> samples =
                List.of(
                        new Sample("decision.idle", "upstreams", 9_100, 1, 1 / 3.0, "us"),
                        new Sample(
                                "memory",
                                "tenants",
                                54_000,
                                2,
                                12_345_678,
                                "B, after a collection"));
        Path file = folder.resolve("x.csv");
        SampleFile.write(file, "how it came about\nand where", samples);
        assertEquals(samples, SampleFile.read(file));
        assertEquals(
                List.of(
                        "# how it came about",
                        "# and where",
                        "measurement,dimension,size,repetition,value,unit"),
                Files.readAllLines(file).subList(0, 3));
    }

    @Test
    void aRowThatIsNoSampleIsRefused() throws IOException {
        Path file =
                Files.writeString(
                        folder.resolve("x.csv"),
                        "measurement,dimension,size,repetition,value,unit\n"
                                + "decision.idle,upstreams,many,1,2,us\n");
        assertThrows(IOException.class, () -> SampleFile.read(file));
    }
}
