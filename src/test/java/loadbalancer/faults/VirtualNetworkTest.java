package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.lab.sim.Streams;
import org.junit.jupiter.api.Test;

/** The virtual network by itself: order, cuts, windows, ends and silence. */
class VirtualNetworkTest {
    private final Timeline timeline = new Timeline(() -> {});
    private final VirtualNetwork network =
            new VirtualNetwork(timeline, new Streams(1).of("network"));
    private final Host here = new Host("here");
    private final Host there = new Host("there");
    private final InetSocketAddress address = VirtualWorld.address(9, 9, 80);
    private final List<String> heard = new ArrayList<>();
    private End near;
    private End far;

    /** Takes all at once, or nothing while it is told not to read. */
    private final class Reader implements End.Owner {
        private final String name;
        private final End end;
        private boolean reads = true;
        private final StringBuilder got = new StringBuilder();

        Reader(String name, End end) {
            this.name = name;
            this.end = end;
        }

        @Override
        public void readable() {
            if (reads) {
                got.append(new String(end.take(Integer.MAX_VALUE), StandardCharsets.US_ASCII));
            }
        }

        @Override
        public void ended() {
            heard.add(name + " ended");
        }

        @Override
        public void reset() {
            heard.add(name + " reset");
        }

        @Override
        public void writable() {
            heard.add(name + " writable");
        }
    }

    private Reader nearReader;
    private Reader farReader;

    private void connect() {
        network.listen(
                there,
                address,
                new VirtualNetwork.Listener() {
                    @Override
                    public boolean hasRoom() {
                        return true;
                    }

                    @Override
                    public void accept(End end) {
                        far = end;
                        farReader = new Reader("far", end);
                        end.owner(farReader);
                    }
                });
        network.connect(
                here,
                address,
                new VirtualNetwork.Connecting() {
                    @Override
                    public void up(End end) {
                        near = end;
                        nearReader = new Reader("near", end);
                        end.owner(nearReader);
                    }

                    @Override
                    public void refused() {
                        heard.add("refused");
                    }
                });
        play(10_000);
    }

    private void play(long micros) {
        timeline.runUntil(timeline.micros() + micros);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Test
    void bytesArriveLateInOrderAndCutAnywhere() {
        network.quality(500, 400, 0.9);
        connect();
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            sent.append(i).append(' ');
            near.send(bytes(i + " "));
        }
        play(400);
        assertEquals("", farReader.got.toString(), "none sooner than the delay");
        play(10_000);
        assertEquals(sent.toString(), farReader.got.toString());
    }

    @Test
    void aReceiverThatTakesNothingStopsTheSenderAtTheWindow() {
        connect();
        farReader.reads = false;
        near.send(new byte[near.room()]);
        play(10_000);
        assertEquals(0, near.room());
        farReader.reads = true;
        farReader.readable();
        play(10_000);
        assertEquals(List.of("near writable"), heard);
        assertEquals(End.WINDOW, near.room());
    }

    @Test
    void closingInOrderLetsTheLastBytesArriveAndUnreadOnesMakeItAReset() {
        connect();
        near.send(bytes("last"));
        near.close();
        play(10_000);
        assertEquals("last", farReader.got.toString());
        assertEquals(List.of("far ended"), heard);
        heard.clear();
        connect();
        farReader.reads = false;
        near.send(bytes("unread"));
        play(10_000);
        far.close();
        play(10_000);
        assertEquals(List.of("near reset"), heard);
    }

    @Test
    void aSilentHostSwallowsAllAndRefusesNothing() {
        connect();
        there.silent = true;
        near.send(bytes("lost"));
        near.close();
        connect();
        play(10_000);
        assertEquals("", farReader.got.toString());
        assertTrue(heard.isEmpty(), heard.toString());
    }

    @Test
    void nobodyListeningIsARefusal() {
        network.connect(
                here,
                address,
                new VirtualNetwork.Connecting() {
                    @Override
                    public void up(End end) {
                        heard.add("up");
                    }

                    @Override
                    public void refused() {
                        heard.add("refused");
                    }
                });
        play(10_000);
        assertEquals(List.of("refused"), heard);
        assertFalse(there.silent);
    }

    @Test
    void whatADyingHostHadIsReset() {
        connect();
        network.breakAll(there);
        play(10_000);
        assertEquals(List.of("near reset"), heard);
        assertTrue(near.isClosed());
    }
}
