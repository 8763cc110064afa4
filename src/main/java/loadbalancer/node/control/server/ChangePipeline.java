package loadbalancer.node.control.server;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.store.ChangeStore;
import loadbalancer.control.store.PendingChange;
import loadbalancer.http1.control.ChangeResult;
import loadbalancer.http1.control.PublisherRunner;

/**
 * Makes one change at a time: parses it and appends it to the log on the writer's thread, checks
 * and applies it on the loop. It is published and its result reported once it is durable, never
 * before. The server bounds how many wait. For the loop, except where a method says otherwise.
 */
final class ChangePipeline {
    private static final System.Logger LOG = System.getLogger(ChangePipeline.class.getName());
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final Executor loop;
    private final Executor writer;
    private final ChangeStore store;
    private final PublisherRunner publisher;
    private final Queue<ReceivedChange> waiting = new ArrayDeque<>();
    private boolean isBusy;

    /** Why no change is accepted any more; empty while they are. */
    private String closedReason = "";

    private record ReceivedChange(byte[] json, Consumer<ChangeResult> result) {}

    ChangePipeline(Executor loop, Executor writer, ChangeStore store, PublisherRunner publisher) {
        this.loop = loop;
        this.writer = writer;
        this.store = store;
        this.publisher = publisher;
    }

    /** Adds a change, whose result is reported later. */
    void add(byte[] json, Consumer<ChangeResult> result) {
        waiting.add(new ReceivedChange(json, result));
        beginNext();
    }

    /**
     * Accepts no more changes; the one that is being appended is still applied if that succeeds.
     */
    void stop() {
        closedReason = "this machine is stopping";
        beginNext();
    }

    private void beginNext() {
        while (!isBusy && !waiting.isEmpty()) {
            ReceivedChange next = waiting.remove();
            if (closedReason.isEmpty()) {
                isBusy = true;
                writer.execute(() -> parse(next));
            } else {
                next.result()
                        .accept(new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
            }
        }
    }

    /** On the writer's thread, as a large change takes long to parse. */
    private void parse(ReceivedChange received) {
        try {
            Change change = ResourceCodec.readChange(received.json());
            loop.execute(() -> prepare(received, change));
        } catch (InvalidChangeException e) {
            loop.execute(() -> finish(received, new ChangeResult.Unreadable(e.getMessage())));
        } catch (RuntimeException e) {
            // Its client still needs a result, and the changes behind it theirs.
            loop.execute(
                    () -> finish(received, new ChangeResult.Unreadable("can't be read: " + e)));
        }
    }

    private void prepare(ReceivedChange received, Change change) {
        Optional<Revision> accepted = store.accepted(change.id());
        if (accepted.isPresent()) {
            finish(received, new ChangeResult.Accepted(accepted.get()));
            return;
        }
        try {
            PendingChange pending = store.prepare(change);
            writer.execute(() -> append(received, pending));
        } catch (InvalidChangeException e) {
            finish(received, new ChangeResult.Rejected(e.getMessage()));
        } catch (RejectedExecutionException e) {
            finish(received, new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
        }
    }

    /** On the writer's thread. */
    private void append(ReceivedChange received, PendingChange pending) {
        try {
            store.append(pending);
            loop.execute(() -> apply(received, pending));
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> appendFailed(received, e));
        }
    }

    private void apply(ReceivedChange received, PendingChange pending) {
        Revision revision = store.apply(pending);
        Change change = pending.change();
        List<VersionedResource> put =
                change.put().stream()
                        .map(resource -> new VersionedResource(revision, resource))
                        .toList();
        publisher.changed(revision, put, change.delete());
        finish(received, new ChangeResult.Accepted(revision));
    }

    /** Whether the change is durable is unknown; the next start reads what is. */
    private void appendFailed(ReceivedChange received, Exception failure) {
        closeAfter(failure);
        finish(received, new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
    }

    private void closeAfter(Exception failure) {
        LOG.log(Level.ERROR, "no more changes are accepted until a restart", failure);
        closedReason =
                "no changes are taken until this machine is restarted: " + failure.getMessage();
    }

    private void finish(ReceivedChange received, ChangeResult result) {
        received.result().accept(result);
        if (closedReason.isEmpty() && store.isCompactionDue()) {
            writer.execute(this::compact);
        } else {
            isBusy = false;
            beginNext();
        }
    }

    /** On the writer's thread; no change is applied meanwhile, so the state doesn't change. */
    private void compact() {
        try {
            store.compact();
            loop.execute(this::compacted);
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> compactionFailed(e));
        }
    }

    private void compactionFailed(Exception failure) {
        closeAfter(failure);
        compacted();
    }

    private void compacted() {
        isBusy = false;
        beginNext();
    }
}
