package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.transport.MemoryQuota.Purpose;
import loadbalancer.transport.MemoryQuota.Reservation;
import org.junit.jupiter.api.Test;

/** The bound on the sum of all reservations, and the pressure that comes before it. */
class MemoryQuotaTest {
    private final MemoryQuota quota = new MemoryQuota(1_000);

    @Test
    void limitAppliesToTheSumOfAllReservations() {
        List<Reservation> granted = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Reservation reservation = quota.newReservation(Purpose.RESPONSE);
            if (reservation.tryGrowTo(100)) {
                granted.add(reservation);
            }
        }
        assertEquals(10, granted.size());
        assertEquals(1_000, quota.reservedBytes());
    }

    @Test
    void bodiesLeaveRoomForHeadsAndResponses() {
        Reservation bodies = quota.newReservation(Purpose.REQUEST_BODY);
        assertTrue(bodies.tryGrowTo(750));
        assertFalse(quota.newReservation(Purpose.REQUEST_BODY).tryGrowTo(1));
        assertTrue(quota.newReservation(Purpose.RESPONSE).tryGrowTo(250));
    }

    @Test
    void refusedGrowthLeavesTheReservationAsItIs() {
        Reservation reservation = quota.newReservation(Purpose.RESPONSE);
        assertTrue(reservation.tryGrowTo(400));
        assertFalse(reservation.tryGrowTo(1_001));
        assertEquals(400, reservation.bytes());
        assertEquals(400, quota.reservedBytes());
    }

    @Test
    void closingTwiceReturnsTheMemoryOnce() {
        Reservation other = quota.newReservation(Purpose.RESPONSE);
        other.resizeTo(10);
        Reservation reservation = quota.newReservation(Purpose.RESPONSE);
        reservation.resizeTo(100);
        reservation.close();
        reservation.close();
        assertEquals(10, quota.reservedBytes());
    }

    /** Connections would stop and resume with each byte if both happened at the same size. */
    @Test
    void pressureEndsWellBelowItsStart() {
        List<Boolean> changes = new ArrayList<>();
        quota.onPressureChange(() -> changes.add(quota.isUnderPressure()));
        Reservation reservation = quota.newReservation(Purpose.IN_TRANSIT);
        for (int size : new int[] {499, 500, 499, 375, 374, 499, 2_000, 0}) {
            reservation.resizeTo(size);
        }
        assertEquals(List.of(true, false, true, false), changes);
    }

    @Test
    void isExhaustedAtTheLimit() {
        Reservation reservation = quota.newReservation(Purpose.IN_TRANSIT);
        reservation.resizeTo(999);
        assertFalse(quota.isExhausted());
        reservation.resizeTo(1_000);
        assertTrue(quota.isExhausted());
    }

    @Test
    void rejectsLimitThatIsNotPositive() {
        assertThrows(IllegalArgumentException.class, () -> new MemoryQuota(0));
    }
}
