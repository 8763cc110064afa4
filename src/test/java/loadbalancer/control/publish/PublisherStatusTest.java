package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PublisherStatusTest {
    private final PublisherFixture fixture = new PublisherFixture(PublisherFixture.LIMITS);
    private final ModelSubscriber subscriber = fixture.subscriber("lb-1");
    private final ModelSubscriber other = fixture.subscriber("lb-2");

    @BeforeEach
    void subscribe() {
        fixture.putTenants("a", 2, 1);
        fixture.admit(subscriber);
        fixture.admit(other);
        fixture.run(10);
    }

    private void acknowledge(ModelSubscriber from) {
        fixture.publisher.acknowledge(
                fixture.now,
                Acknowledgement.inForce(from.name, from.applied.revision(), from.digest()));
    }

    private void reject(Revision rejected) {
        fixture.publisher.acknowledge(
                fixture.now,
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
                        fixture.revision, inForce + behind, inForce, behind, oldest, List.of());
        assertEquals(expected, fixture.publisher.status());
    }

    @Test
    void countsAcknowledgedRevisionsOnly() {
        assertStatus(0, 2, Revision.NONE);
        acknowledge(subscriber);
        assertStatus(1, 1, Revision.NONE);
        acknowledge(other);
        assertStatus(2, 0, fixture.revision);
    }

    @Test
    void ignoresAcknowledgementOfEarlierSubscription() {
        Revision first = fixture.revision;
        Acknowledgement early = Acknowledgement.inForce("lb-1", first, subscriber.digest());
        fixture.putTenants("a", 1, 2);
        fixture.run(10);
        acknowledge(other);
        acknowledge(subscriber);
        fixture.publisher.acknowledge(fixture.now, early);
        fixture.publisher.acknowledge(
                fixture.now,
                Acknowledgement.inForce("lb-1", fixture.revision.next(), subscriber.digest()));
        fixture.publisher.acknowledge(
                fixture.now,
                Acknowledgement.inForce("lb-9", fixture.revision, subscriber.digest()));
        assertStatus(2, 0, fixture.revision);
    }

    @Test
    void resetsRevisionInForceWhenSubscriberReturnsWithoutState() {
        acknowledge(subscriber);
        acknowledge(other);
        fixture.admit(fixture.subscriber("lb-1"));
        assertStatus(1, 1, Revision.NONE);
    }

    @Test
    void showsRejectionUntilNewerRevisionIsInForce() {
        acknowledge(subscriber);
        acknowledge(other);
        Revision inForce = fixture.revision;
        subscriber.rejects = true;
        fixture.putTenants("a", 1, 2);
        fixture.run(10);
        Revision rejected = fixture.revision;
        reject(rejected);
        int parts = subscriber.received.size();
        fixture.run(10);
        assertEquals(parts, subscriber.received.size(), "the rejected update is not sent again");
        DistributionStatus.Rejection expected =
                new DistributionStatus.Rejection("lb-1", rejected, "tenant a/t0", "too large");
        assertEquals(List.of(expected), fixture.publisher.status().rejections());
        subscriber.rejects = false;
        fixture.putTenants("b", 1, 1);
        fixture.run(10);
        assertEquals(inForce, subscriber.lastFrom(), "the update builds on the revision in force");
        assertEquals(List.of(expected), fixture.publisher.status().rejections());
        acknowledge(subscriber);
        acknowledge(other);
        assertStatus(2, 0, fixture.revision);
    }

    @Test
    void ignoresRejectionOfRevisionNeverSent() {
        reject(fixture.revision.next());
        assertEquals(List.of(), fixture.publisher.status().rejections());
    }
}
