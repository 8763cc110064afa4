package loadbalancer.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests a member with random packets, most of them invalid. */
class SwimFuzzTest {
    private final ScriptedSwim script = new ScriptedSwim();
    private final Swim swim = script.swim();
    private final Random random = new Random(3);

    @Test
    void randomPacketsNeitherThrowNorCauseMoreThanTwoReplies() {
        swim.start(script.now());
        for (int i = 0; i < 30_000; i++) {
            List<Member> updates = randomUpdates();
            int before = script.sent().size();
            swim.received(
                    script.now(),
                    new Packet(randomMessage(), random.nextInt(50) == 0 ? null : updates),
                    randomText(),
                    "h" + random.nextInt(9) + ":1",
                    random.nextInt(3));
            assertTrue(script.sent().size() <= before + 2, "at most two packets in reply");
            script.skip(random.nextInt(100 * (int) ScriptedSwim.MILLISECOND));
            script.run(0);
            script.sent().forEach(sent -> assertWithinLimits(sent.packet()));
            script.sent().clear();
            assertTrue(swim.members().size() <= ScriptedSwim.MAX_MEMBERS);
        }
    }

    private static void assertWithinLimits(Packet packet) {
        int bytes = packet.updates().stream().mapToInt(MemberFormat::encodedBytes).sum();
        assertTrue(packet.updates().size() <= 10 && bytes <= 700);
    }

    private List<Member> randomUpdates() {
        List<Member> updates = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            updates.add(random.nextInt(20) == 0 ? null : randomMember());
        }
        return updates;
    }

    private Member randomMember() {
        return new Member(
                randomText(),
                randomText() + ":1",
                randomText(),
                randomNumber(),
                random.nextInt(3),
                random.nextInt(20) == 0 ? null : Health.values()[random.nextInt(4)]);
    }

    private String randomText() {
        String[] texts = {
            null, "", "me", "a", "b", "c", "x".repeat(70), "\u00e9\u0000", "m" + random.nextInt(60)
        };
        return texts[random.nextInt(texts.length)];
    }

    private long randomNumber() {
        return random.nextBoolean() ? random.nextInt(9) : random.nextLong();
    }

    private SwimMessage randomMessage() {
        return switch (random.nextInt(7)) {
            case 0 -> new SwimMessage.Ping(randomNumber(), randomText(), randomNumber());
            case 1 ->
                    new SwimMessage.Ack(
                            randomNumber(),
                            randomText(),
                            randomNumber(),
                            randomNumber(),
                            randomNumber());
            case 2 -> new SwimMessage.PingRequest(randomNumber(), randomText(), randomText());
            case 3 -> new SwimMessage.Nack(random.nextInt(2), randomText());
            case 4 ->
                    new SwimMessage.Digest(
                            randomNumber(), randomNumber(), randomNumber(), random.nextBoolean());
            case 5 -> null;
            default -> new SwimMessage.Gossip();
        };
    }
}
