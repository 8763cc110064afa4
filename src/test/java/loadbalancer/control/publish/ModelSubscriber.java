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

/** A subscriber that applies complete updates and verifies the protocol for each received line. */
final class ModelSubscriber implements SubscriberSink {
    final String name;
    final Scope scope;
    ResourceState applied = new ResourceState();

    /** The number of lines that the connection accepts before it is no longer writable. */
    int writableLines = Integer.MAX_VALUE;

    /** Whether updates are not applied, as if the subscriber rejected all of them. */
    boolean rejects;

    int heartbeats;
    String closeReason;
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
        closeReason = null;
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
                closeReason != null || writableLines <= 0,
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
        closeReason = reason;
    }

    /** Returns the base revision of the last received part. */
    Revision lastFrom() {
        return last().from();
    }
}
