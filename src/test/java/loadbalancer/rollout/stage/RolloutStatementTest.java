package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.rollout.stage.RolloutStatement.DigestCheck;
import loadbalancer.rollout.stage.RolloutStatement.Phase;
import org.junit.jupiter.api.Test;

class RolloutStatementTest {
    @Test
    void decodesOrIgnoresCorruptedBytes() {
        Random random = new Random(10);
        RolloutStatement statement =
                new RolloutStatement(
                        3, Phase.CANARY, true, DigestCheck.MATCHES, 7, Map.of("b", 9L));
        byte[] valid = statement.encode();
        assertEquals(Optional.of(statement), RolloutStatement.decode(valid));
        for (int i = 0; i < 20_000; i++) {
            byte[] mutated = valid.clone();
            for (int j = random.nextInt(4); j >= 0; j--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
            }
            RolloutStatement.decode(Arrays.copyOf(mutated, random.nextInt(mutated.length + 1)));
        }
        assertEquals(Optional.empty(), RolloutStatement.decode(new byte[5_000]));
    }

    @Test
    void encodingMatchesEarlierVersion() {
        byte[] earlier =
                HexFormat.of()
                        .parseHex(
                                "bf6670617373656403657068617365026773657276696e67f56466697473026361736b07"
                                    + "666772616e7473bf6262310962623224ffff");
        RolloutStatement statement =
                new RolloutStatement(
                        3,
                        Phase.CANARY,
                        true,
                        DigestCheck.DIFFERS,
                        7,
                        new TreeMap<>(Map.of("b1", 9L, "b2", -5L)));
        assertArrayEquals(earlier, statement.encode());
        assertEquals(Optional.of(statement), RolloutStatement.decode(earlier));
    }
}
