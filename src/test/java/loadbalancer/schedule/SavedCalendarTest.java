package loadbalancer.schedule;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class SavedCalendarTest {
    @Test
    void bytesAreThoseOfTheFormerVersion() throws IOException {
        byte[] former = HexFormat.of().parseHex("bf6661677265656481420102636f776e814103ff");
        SavedCalendar saved =
                new SavedCalendar(List.of(new byte[] {1, 2}), List.of(new byte[] {3}));
        assertArrayEquals(former, saved.encode());
        SavedCalendar decoded = SavedCalendar.decode(former);
        assertArrayEquals(saved.agreedTexts().get(0), decoded.agreedTexts().get(0));
        assertArrayEquals(saved.ownTexts().get(0), decoded.ownTexts().get(0));
    }
}
