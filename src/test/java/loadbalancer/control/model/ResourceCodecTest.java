package loadbalancer.control.model;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResourceCodecTest {
    private static final Revision REVISION = new Revision(3, 17);
    private static final List<Resource> ONE_OF_EACH =
            List.of(
                    new Service("shop", List.of("a", "b"), List.of("m1")),
                    new Upstream(
                            "shop",
                            "u1",
                            "10.0.0.1:8080",
                            "a",
                            "m1",
                            3,
                            Upstream.State.DRAINING,
                            1.5,
                            12),
                    new Route("shop", "r1", "shop.example", "/read", "read"),
                    new Tenant("shop", "t1", 12.5, 0.25),
                    new RequestClass(
                            "shop",
                            "read",
                            0.1,
                            1.5,
                            2,
                            0.5,
                            RequestClass.RetrySafety.IDEMPOTENCY_KEY,
                            RequestClass.DeduplicationScope.ZONE,
                            1.2),
                    new Limits("shop", 3, 1_000, true, 2, 0.5, 30));

    @Test
    void readsBackWhatItWrote() throws InvalidChangeException {
        Change change = new Change("c1", ONE_OF_EACH, List.of(ONE_OF_EACH.get(3).id()));
        assertEquals(change, ResourceCodec.readChange(ResourceCodec.encode(change)));
        UpdatePart part =
                new UpdatePart(
                        REVISION,
                        2,
                        ONE_OF_EACH.stream().map(r -> new VersionedResource(REVISION, r)).toList(),
                        List.of(ONE_OF_EACH.get(1).id()),
                        new UpdatePart.Completion(REVISION.next(), new Digest(-5)));
        assertEquals(part, ResourceCodec.readUpdatePart(ResourceCodec.encode(part)));
        Acknowledgement rejected =
                Acknowledgement.rejected(
                        "lb-1",
                        REVISION,
                        Digest.EMPTY,
                        REVISION.next(),
                        new InvalidChangeException("here", "bad"));
        assertEquals(rejected, ResourceCodec.readAcknowledgement(ResourceCodec.encode(rejected)));
    }

    @Test
    void ignoresUnknownFieldsInMessages() throws InvalidChangeException {
        UpdatePart part =
                ResourceCodec.readUpdatePart(
                        "{\"from\":\"1.2\",\"part\":0,\"put\":[],\"delete\":[],\"later\":{\"x\":1}}"
                                .getBytes(UTF_8));
        assertEquals(new Revision(1, 2), part.from());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{",
                "{\"id\":\"c\"} x",
                "{\"id\":\"c\",\"puts\":[]}",
                "{\"id\":\"c\",\"put\":[{\"kind\":\"planet\"}]}",
                "{\"id\":\"c\",\"put\":[{}]}",
                "{\"id\":\"c\",\"put\":[null]}",
                "{\"id\":\"c\",\"put\":[{\"kind\":\"tenant\",\"rate\":1}]}",
                "{\"id\":\"c\",\"put\":[{\"kind\":\"tenant\",\"share\":\"much\"}]}",
                "\u0000\u0001"
            })
    void rejectsMalformedChangeWithPlaceInOneLine(String text) {
        String message =
                assertThrows(
                                InvalidChangeException.class,
                                () -> ResourceCodec.readChange(text.getBytes(UTF_8)))
                        .getMessage();
        assertEquals(1, message.lines().count(), message);
        assertTrue(message.startsWith("change"), message);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "1",
                "1.",
                ".1",
                "1.x",
                "-1.2",
                "1.-2",
                "1.2.3",
                "",
                "99999999999999999999.1"
            })
    void rejectsMalformedRevision(String text) {
        assertThrows(IllegalArgumentException.class, () -> Revision.parse(text));
    }

    @Test
    void ordersRevisionsByEpochFirst() {
        assertTrue(new Revision(2, 1).isAfter(new Revision(1, 9)));
        assertTrue(new Revision(1, 9).isAfter(new Revision(1, 8)));
        assertEquals(REVISION, Revision.parse(REVISION.toString()));
    }
}
