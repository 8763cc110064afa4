package loadbalancer.control.subscribe;

import static loadbalancer.control.subscribe.SubscriberHarness.tenant;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against revisions that decrease and states that never existed. Runs random histories
 * against a model publisher whose four servers lag by random amounts and whose connections lose,
 * repeat and skip parts. The harness compares the state with the model at each acknowledgement.
 */
class SubscriberPropertyTest {
    private static final int SEEDS = 60;
    private static final int STEPS = 400;
    private static final int SERVERS = 4;

    /** One random history. */
    private static final class History {
        private final Random random;
        private final ModelPublisher publisher = new ModelPublisher();
        private final SubscriberHarness harness;
        private final Revision[] servers = new Revision[SERVERS];
        private final Deque<UpdatePart> sending = new ArrayDeque<>();
        private Revision cursor = Revision.NONE;
        private int subscription;
        private Revision highest = Revision.NONE;

        History(long seed) {
            random = new Random(seed);
            harness = new SubscriberHarness(publisher, Scope.ALL, new ResourceState(), seed);
            publisher.put(tenant("s0", "t0", 0));
            for (int server = 0; server < SERVERS; server++) {
                servers[server] = publisher.latest();
            }
            harness.subscriber.start(0);
        }

        void step(boolean withFaults) {
            harness.advanceMillis(random.nextInt(200));
            startNewSubscription();
            int draw = random.nextInt(20);
            if (withFaults && draw < 4) {
                change();
            } else if (withFaults && draw == 4) {
                loseConnection();
            } else if (draw == 5) {
                catchUp(random.nextInt(SERVERS));
            } else if (draw < 12) {
                harness.runOnce();
            } else {
                send(withFaults);
            }
            checkRevisionNeverDecreases();
        }

        /** Starts the server side of a new subscription at the revision that was requested. */
        private void startNewSubscription() {
            if (subscription != harness.requests.size()) {
                subscription = harness.requests.size();
                sending.clear();
                cursor = harness.lastRequest().revision();
            }
        }

        private Revision server() {
            return servers[harness.servers.get(harness.servers.size() - 1)];
        }

        private void change() {
            List<Resource> put = new ArrayList<>();
            List<ResourceId> delete = new ArrayList<>();
            for (ResourceId id : publisher.stateAt(publisher.latest()).keySet()) {
                if (random.nextInt(15) == 0) {
                    delete.add(id);
                }
            }
            int size = 1 + random.nextInt(8);
            for (int i = 0; i < size; i++) {
                String name =
                        random.nextInt(30) == 0
                                ? SubscriberHarness.REJECTED
                                : "t" + random.nextInt(6);
                put.add(tenant("s" + random.nextInt(3), name, random.nextInt(9)));
            }
            Revision latest = publisher.latest();
            boolean newEpoch = random.nextInt(10) == 0;
            Revision next =
                    newEpoch
                            ? new Revision(latest.epoch() + 1, latest.number() + 1)
                            : latest.next();
            publisher.changeTo(next, put, delete);
        }

        private void catchUp(int server) {
            servers[server] = publisher.latest();
        }

        private void loseConnection() {
            if (harness.open) {
                harness.end();
            }
        }

        private void send(boolean withFaults) {
            if (!harness.open || harness.paused) {
                return;
            }
            if (sending.isEmpty() && !cursor.equals(server())) {
                sending.addAll(publisher.parts(cursor, server(), 1 + random.nextInt(4)));
                cursor = server();
            }
            UpdatePart part = sending.poll();
            if (part == null) {
                harness.subscriber.heartbeatReceived(harness.now);
                return;
            }
            byte[] line = ResourceCodec.encode(part);
            boolean skipped = withFaults && random.nextInt(40) == 0;
            boolean repeated = withFaults && random.nextInt(40) == 0;
            for (int copies = (skipped ? 0 : 1) + (repeated ? 1 : 0); copies > 0; copies--) {
                harness.subscriber.lineReceived(harness.now, line);
            }
        }

        private void checkRevisionNeverDecreases() {
            assertFalse(
                    highest.isAfter(harness.inForce()), "the revision decreased from " + highest);
            highest = harness.inForce();
        }

        /** Runs without faults and checks that the latest revision is acknowledged in the end. */
        void settle() {
            harness.advanceMillis(10_000);
            List<ResourceId> rejected =
                    publisher.stateAt(publisher.latest()).keySet().stream()
                            .filter(id -> id.name().equals(SubscriberHarness.REJECTED))
                            .toList();
            Revision last = publisher.change(List.of(tenant("s0", "t0", 1)), rejected);
            for (int server = 0; server < SERVERS; server++) {
                catchUp(server);
            }
            for (int step = 0; step < 2 * STEPS; step++) {
                step(false);
            }
            harness.assertInForce(last);
            assertEquals(
                    Acknowledgement.inForce("lb-1", last, publisher.digest(last)),
                    harness.lastAcknowledgement());
            assertTrue(harness.acknowledgements.size() >= harness.applied.size());
        }
    }

    static LongStream seeds() {
        return LongStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void matchesTheModelAtEachAcknowledgementAndNeverDecreasesItsRevision(long seed) {
        History history = new History(seed);
        for (int step = 0; step < STEPS; step++) {
            history.step(true);
        }
        history.settle();
    }
}
