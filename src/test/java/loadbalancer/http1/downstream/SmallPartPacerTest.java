package loadbalancer.http1.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SmallPartPacerTest {
    private static final long MILLISECOND = 1_000_000;

    private final SmallPartPacer pacer = new SmallPartPacer();

    @Test
    void usualReadsAreNotDelayed() {
        for (int i = 0; i < 1_000; i++) {
            assertEquals(0, pacer.charge(256, 0));
        }
    }

    @Test
    void readsOfManyPartsWaitBehindOneAnother() {
        assertEquals(10 * MILLISECOND, pacer.charge(2_000, 0));
        assertEquals(20 * MILLISECOND, pacer.charge(2_000, 0));
        assertEquals(25 * MILLISECOND, pacer.charge(2_000, 5 * MILLISECOND));
    }

    @Test
    void nothingIsSavedUpWhileNobodyReads() {
        pacer.charge(2_000, 0);
        assertEquals(10 * MILLISECOND, pacer.charge(2_000, 900 * MILLISECOND));
    }
}
