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
    ResourceState applied = new ResourceState();

    /** How many lines the connection takes before it is full. */
    int writableLines = Integer.MAX_VALUE;

    /** Applies nothing, as if it rejected every update. */
    boolean rejects;

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
        return new SubscribeRequest(name, "", scope, applied.revision(), digest());
    }

    Digest digest() {
        return applied.digest(Scope.ALL);
    }

    UpdatePart last() {
        return received.get(received.size() - 1);
    }

    @Override
    public boolean isWritable() {
        return writableLines > 0;
    }

    @Override
    public void send(byte[] line) {
        assertFalse(
                closed != null || writableLines <= 0,
                "sent to a sink that is closed or not writable");
        writableLines--;
        UpdatePart part = read(line);
        assertArrayEquals(ResourceCodec.encode(part), line);
        received.add(part);
        sizes.add(line.length);
        if (part.part() == 0) {
            collected.clear();
        }
        assertEquals(collected.size(), part.part());
        collected.add(part);
        if (part.isLast() && !rejects) {
            putInForce(part);
        }
    }

    private void putInForce(UpdatePart last) {
        if (last.isSnapshot()) {
            applied = new ResourceState();
        }
        assertEquals(applied.revision(), last.from());
        for (UpdatePart part : collected) {
            part.delete().forEach(applied::delete);
            part.put().forEach(applied::put);
        }
        applied.advance(last.completion().to());
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
