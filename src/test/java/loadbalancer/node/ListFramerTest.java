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
     * Frames a text in pieces of the given number of characters, and returns the events: a list as
     * it is, E for an empty line, and B for invalid input.
     */
    private static List<String> frame(String text, int pieceLength) {
        List<String> events = new ArrayList<>();
        ListFramer framer =
                new ListFramer(
                        new ListFramer.Listener() {
                            @Override
                            public void onHeartbeat() {
                                events.add("E");
                            }

                            @Override
                            public void onObject(byte[] json) {
                                events.add(
                                        new String(json, StandardCharsets.UTF_8)
                                                .replaceAll("\\s", ""));
                            }

                            @Override
                            public void onInvalid(String reason) {
                                events.add("B");
                            }
                        });
        for (int i = 0; i < text.length(); i += pieceLength) {
            framer.add(
                    Unpooled.copiedBuffer(
                            text.substring(i, Math.min(text.length(), i + pieceLength)),
                            StandardCharsets.UTF_8));
        }
        framer.end();
        return events;
    }

    /** In each row L stands for the list, N for a line feed and a full stop for a space. */
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
    void separatesListsFromHeartbeatsAndInvalidInput(String text, String expected) {
        String bytes =
                text.replace('\'', '"').replace("L", LIST).replace("N", "\n").replace(".", " ");
        for (int pieceLength : new int[] {1, 2, 7, 10_000}) {
            assertEquals(
                    expected.replace("L", LIST),
                    String.join(" ", frame(bytes, pieceLength)),
                    "in pieces of " + pieceLength);
        }
    }

    /**
     * A list may be indented by any white space and span any number of lines, also after a
     * truncated list.
     */
    @Test
    void framesIndentedListAsOneObject() {
        String page = "{\"version\":43,\"full\":false,\"servers\":[\n  {\"id\":\"a}\\\"{\"}]}\n";
        String pretty =
                "{\n  \"version\": 43,\n  \"full\": false,\n  \"servers\": [\n    {\n"
                        + "      \"id\": \"a}\\\"{\"\n    }\n  ]\n}\n";
        String flat = pretty.replaceAll("\n +", "\n");
        String windows = pretty.replace("\n", "\r\n");
        for (String text : List.of(page, pretty, flat, windows)) {
            for (int length : new int[] {1, 3, 10_000}) {
                assertEquals(List.of(LIST, "E", LIST), frame(text + "\n" + text, length), text);
                assertEquals(
                        List.of("B", LIST),
                        frame(text.substring(0, 18) + "\n" + text, length),
                        text);
            }
        }
    }
}
