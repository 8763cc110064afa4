package loadbalancer.schedule;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class SavedCalendarTest {
    @Test
    void encodingMatchesEarlierVersion() throws IOException {
        byte[] earlier = HexFormat.of().parseHex("bf6661677265656481420102636f776e814103ff");
        SavedCalendar saved =
                new SavedCalendar(List.of(new byte[] {1, 2}), List.of(new byte[] {3}));
        assertArrayEquals(earlier, saved.encode());
        SavedCalendar decoded = SavedCalendar.decode(earlier);
        assertArrayEquals(saved.agreedTexts().get(0), decoded.agreedTexts().get(0));
        assertArrayEquals(saved.ownTexts().get(0), decoded.ownTexts().get(0));
    }
}
