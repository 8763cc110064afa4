package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ListFramerTest {
    private static final String LIST =
            "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"a}\\\"{\"}]}";

    /**
     * What comes out of that, cut into pieces of so many bytes: lists as they are, E and B for the
     * rest.
     */
    private static List<String> read(String text, int piece) {
        List<String> out = new ArrayList<>();
        ListFramer framer =
                new ListFramer(
                        new ListFramer.Output() {
                            @Override
                            public void empty() {
                                out.add("E");
                            }

                            @Override
                            public void object(byte[] json) {
                                out.add(
                                        new String(json, StandardCharsets.UTF_8)
                                                .replaceAll("\\s", ""));
                            }

                            @Override
                            public void broken(String why) {
                                out.add("B");
                            }
                        });
        for (int i = 0; i < text.length(); i += piece) {
            framer.add(
                    Unpooled.copiedBuffer(
                            text.substring(i, Math.min(text.length(), i + piece)),
                            StandardCharsets.UTF_8));
        }
        framer.end();
        return out;
    }

    /** In each row L stands for the list, N for the end of a line, and a point for a space. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "LNNLN|L E L",
                "L|L",
                "..LN|L",
                "LNLN|L L",
                "L.N.N|L E",
                "{'version':4NLN|B L",
                "{'version':4,'servers':[NLNN|B L E",
                "{'version':4,'servers':[N.NLN|B E L",
                "{'id':'aNLN|B L",
                "xNLN|B L",
                "[1]NLN|B L",
                "}NLN|B L",
                "LxNLN|L B L",
                "{'version':4,'servers':[|B"
            })
    void listsAreCutOutOfWhateverComes(String text, String expected) {
        String bytes =
                text.replace('\'', '"').replace("L", LIST).replace("N", "\n").replace(".", " ");
        for (int piece : new int[] {1, 2, 7, 10_000}) {
            assertEquals(
                    expected.replace("L", LIST),
                    String.join(" ", read(bytes, piece)),
                    "by " + piece);
        }
    }

    /**
     * Lists may come indented: by whatever, over as many lines as one likes, with or without torn
     * ones.
     */
    @Test
    void indentedListIsOne() {
        String page = "{\"version\":43,\"full\":false,\"servers\":[\n  {\"id\":\"a}\\\"{\"}]}\n";
        String pretty =
                "{\n  \"version\": 43,\n  \"full\": false,\n  \"servers\": [\n    {\n"
                        + "      \"id\": \"a}\\\"{\"\n    }\n  ]\n}\n";
        String flat = pretty.replaceAll("\n +", "\n");
        String windows = pretty.replace("\n", "\r\n");
        for (String text : List.of(page, pretty, flat, windows)) {
            for (int piece : new int[] {1, 3, 10_000}) {
                assertEquals(List.of(LIST, "E", LIST), read(text + "\n" + text, piece), text);
                assertEquals(
                        List.of("B", LIST), read(text.substring(0, 18) + "\n" + text, piece), text);
            }
        }
    }
}
