package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is known to be in force where. */
class PublisherStatusTest {
    private final PublisherBench bench = new PublisherBench(PublisherBench.LIMITS);
    private final ModelSubscriber subscriber = bench.subscriber("lb-1");
    private final ModelSubscriber other = bench.subscriber("lb-2");

    @BeforeEach
    void subscribe() {
        bench.putTenants("a", 2, 1);
        bench.admit(subscriber);
        bench.admit(other);
        bench.run(10);
    }

    private void acknowledge(ModelSubscriber from) {
        bench.publisher.acknowledge(
                bench.now,
                Acknowledgement.inForce(from.name, from.applied.revision(), from.digest()));
    }

    private void reject(Revision rejected) {
        bench.publisher.acknowledge(
                bench.now,
                Acknowledgement.rejected(
                        subscriber.name,
                        subscriber.applied.revision(),
                        subscriber.digest(),
                        rejected,
                        new InvalidChangeException("tenant a/t0", "too large")));
    }

    private void assertStatus(int inForce, int behind, Revision oldest) {
        DistributionStatus expected =
                new DistributionStatus(
                        bench.revision, inForce + behind, inForce, behind, oldest, List.of());
        assertEquals(expected, bench.publisher.status());
    }

    @Test
    void countsWhatIsAcknowledgedAndNotWhatIsSent() {
        assertStatus(0, 2, Revision.NONE);
        acknowledge(subscriber);
        assertStatus(1, 1, Revision.NONE);
        acknowledge(other);
        assertStatus(2, 0, bench.revision);
    }

    @Test
    void anAcknowledgementOfAnEarlierSubscriptionIsIgnored() {
        Revision first = bench.revision;
        Acknowledgement early = Acknowledgement.inForce("lb-1", first, subscriber.digest());
        bench.putTenants("a", 1, 2);
        bench.run(10);
        acknowledge(other);
        acknowledge(subscriber);
        bench.publisher.acknowledge(bench.now, early);
        bench.publisher.acknowledge(
                bench.now,
                Acknowledgement.inForce("lb-1", bench.revision.next(), subscriber.digest()));
        bench.publisher.acknowledge(
                bench.now, Acknowledgement.inForce("lb-9", bench.revision, subscriber.digest()));
        assertStatus(2, 0, bench.revision);
    }

    @Test
    void whoSubscribesAnewWithLessHasLessInForce() {
        acknowledge(subscriber);
        acknowledge(other);
        bench.admit(bench.subscriber("lb-1"));
        assertStatus(1, 1, Revision.NONE);
    }

    @Test
    void aRejectionIsShownUntilSomethingNewerIsInForce() {
        acknowledge(subscriber);
        acknowledge(other);
        Revision kept = bench.revision;
        subscriber.rejects = true;
        bench.putTenants("a", 1, 2);
        bench.run(10);
        Revision rejected = bench.revision;
        reject(rejected);
        int parts = subscriber.received.size();
        bench.run(10);
        assertEquals(parts, subscriber.received.size(), "what was refused is not sent again");
        DistributionStatus.Rejection expected =
                new DistributionStatus.Rejection("lb-1", rejected, "tenant a/t0", "too large");
        assertEquals(List.of(expected), bench.publisher.status().rejections());
        subscriber.rejects = false;
        bench.putTenants("b", 1, 1);
        bench.run(10);
        assertEquals(kept, subscriber.lastFrom(), "builds on what is in force");
        assertEquals(List.of(expected), bench.publisher.status().rejections());
        acknowledge(subscriber);
        acknowledge(other);
        assertStatus(2, 0, bench.revision);
    }

    @Test
    void aRejectionOfWhatWasNeverSentIsIgnored() {
        reject(bench.revision.next());
        assertEquals(List.of(), bench.publisher.status().rejections());
    }
}
