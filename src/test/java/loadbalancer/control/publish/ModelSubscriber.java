package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.UpdatePart;

/**
 * A subscriber that collects parts and puts them in force together; checks the protocol as it goes.
 */
final class ModelSubscriber implements SubscriberSink {
    final String name;
    final Scope scope;
    ResourceState held = new ResourceState();

    /** How many lines the connection takes before it is full. */
    int room = Integer.MAX_VALUE;

    /** Applies nothing, as if it refused every update. */
    boolean refuses;

    int heartbeats;
    String closed;
    Subscription subscription;
    final List<UpdatePart> received = new ArrayList<>();
    final List<Integer> sizes = new ArrayList<>();
    private final List<UpdatePart> collected = new ArrayList<>();

    ModelSubscriber(String name, Scope scope) {
        this.name = name;
        this.scope = scope;
    }

    SubscribeRequest request() {
        collected.clear();
        closed = null;
        return new SubscribeRequest(name, "", scope, held.revision(), digest());
    }

    Digest digest() {
        return held.digest(Scope.ALL);
    }

    UpdatePart last() {
        return received.get(received.size() - 1);
    }

    @Override
    public boolean isWritable() {
        return room > 0;
    }

    @Override
    public void send(byte[] line) {
        assertFalse(closed != null || room <= 0, "sent to a sink that is closed or not writable");
        room--;
        UpdatePart part = read(line);
        assertArrayEquals(ResourceCodec.encode(part), line);
        received.add(part);
        sizes.add(line.length);
        if (part.part() == 0) {
            collected.clear();
        }
        assertEquals(collected.size(), part.part());
        collected.add(part);
        if (part.isLast() && !refuses) {
            putInForce(part);
        }
    }

    private void putInForce(UpdatePart last) {
        if (last.isSnapshot()) {
            held = new ResourceState();
        }
        assertEquals(held.revision(), last.from());
        for (UpdatePart part : collected) {
            part.delete().forEach(held::delete);
            part.put().forEach(held::put);
        }
        held.advance(last.completion().to());
        assertEquals(digest(), last.completion().digest());
        collected.clear();
    }

    private static UpdatePart read(byte[] line) {
        try {
            return ResourceCodec.readUpdatePart(line);
        } catch (InvalidChangeException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void heartbeat() {
        heartbeats++;
    }

    @Override
    public void close(String reason) {
        closed = reason;
    }

    /** The revision that the update in progress or the last one builds on. */
    Revision lastFrom() {
        return last().from();
    }
}
