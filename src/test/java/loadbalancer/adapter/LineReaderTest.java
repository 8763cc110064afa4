package loadbalancer.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the splitting of a stream into lines. */
class LineReaderTest {
    private static List<String> lines(InputStream in) throws IOException {
        LineReader reader = new LineReader(in);
        List<String> lines = new ArrayList<>();
        while (reader.next()) {
            lines.add(new String(reader.bytes(), 0, reader.length(), StandardCharsets.UTF_8));
        }
        return lines;
    }

    private static InputStream input(String text) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsLinesWithoutLineFeeds() throws IOException {
        assertEquals(List.of("one", "", "three"), lines(input("one\n\nthree\n")));
        assertEquals(List.of(), lines(input("")));
    }

    @Test
    void readsLastLineWithoutLineFeed() throws IOException {
        assertEquals(List.of("one", "two"), lines(input("one\ntwo")));
    }

    @Test
    void readsLineLongerThanTheBuffer() throws IOException {
        String longLine = "x".repeat(200_000);
        assertEquals(List.of("a", longLine, "b"), lines(input("a\n" + longLine + "\nb\n")));
    }
}
