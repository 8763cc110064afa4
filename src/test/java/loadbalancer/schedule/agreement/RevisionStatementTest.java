package loadbalancer.schedule.agreement;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;
import org.junit.jupiter.api.Test;

class RevisionStatementTest {
    @Test
    void encodingMatchesEarlierVersion() {
        byte[] earlier =
                HexFormat.of()
                        .parseHex(
                                "bf65686f6c64738283011b000665172898800078203031323334353637383961626364"
                                    + "656630313233343536373839616263646566830205782066666666666666"
                                    + "66666666666666666666666666666666666666666666666666ff");
        RevisionStatement statement =
                new RevisionStatement(
                        List.of(
                                new Vote(
                                        1,
                                        1_800_000_000_000_000L,
                                        "0123456789abcdef0123456789abcdef"),
                                new Vote(2, 5, "f".repeat(32))));
        assertArrayEquals(earlier, statement.encode());
        assertEquals(Optional.of(statement), RevisionStatement.decode(earlier));
    }
}
