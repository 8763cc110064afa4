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
 * Processes one change at a time: parses it and appends it to the log on the log thread, checks and
 * applies it on the event loop. A change is published and its result reported only once it is
 * durable. The server limits the number of waiting changes. Used on the event loop, except where a
 * method says otherwise.
 */
final class ChangePipeline {
    private static final System.Logger LOG = System.getLogger(ChangePipeline.class.getName());
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final Executor loop;
    private final Executor logExecutor;
    private final ChangeStore store;
    private final PublisherRunner publisher;
    private final Queue<ReceivedChange> queue = new ArrayDeque<>();
    private boolean isBusy;

    /** Reason why changes are no longer accepted; empty while they are. */
    private String closedReason = "";

    private record ReceivedChange(byte[] json, Consumer<ChangeResult> result) {}

    ChangePipeline(
            Executor loop, Executor logExecutor, ChangeStore store, PublisherRunner publisher) {
        this.loop = loop;
        this.logExecutor = logExecutor;
        this.store = store;
        this.publisher = publisher;
    }

    /** Queues a change, whose result is reported later. */
    void add(byte[] json, Consumer<ChangeResult> result) {
        queue.add(new ReceivedChange(json, result));
        startNext();
    }

    /**
     * Stops accepting changes. A change that is being appended is still applied if the append
     * succeeds.
     */
    void stop() {
        closedReason = "this machine is stopping";
        startNext();
    }

    private void startNext() {
        while (!isBusy && !queue.isEmpty()) {
            ReceivedChange next = queue.remove();
            if (closedReason.isEmpty()) {
                isBusy = true;
                logExecutor.execute(() -> parse(next));
            } else {
                next.result()
                        .accept(new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
            }
        }
    }

    /** Runs on the log thread, because a large change takes long to parse. */
    private void parse(ReceivedChange received) {
        try {
            Change change = ResourceCodec.readChange(received.json());
            loop.execute(() -> prepare(received, change));
        } catch (InvalidChangeException e) {
            loop.execute(() -> finish(received, new ChangeResult.Unreadable(e.getMessage())));
        } catch (RuntimeException e) {
            // Without a result, this client and the changes queued behind it would wait forever.
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
            logExecutor.execute(() -> append(received, pending));
        } catch (InvalidChangeException e) {
            finish(received, new ChangeResult.Rejected(e.getMessage()));
        } catch (RejectedExecutionException e) {
            finish(received, new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
        }
    }

    /** Runs on the log thread. */
    private void append(ReceivedChange received, PendingChange pending) {
        try {
            store.append(pending);
            loop.execute(() -> apply(received, pending));
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> onAppendFailed(received, e));
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

    /**
     * Stops accepting changes, because it is unknown whether this one is durable until the next
     * start reads the log.
     */
    private void onAppendFailed(ReceivedChange received, Exception failure) {
        closeAfter(failure);
        finish(received, new ChangeResult.Unavailable(closedReason, RETRY_AFTER_MILLIS));
    }

    private void closeAfter(Exception failure) {
        LOG.log(Level.ERROR, "control log failed; changes are rejected until a restart", failure);
        closedReason =
                "no changes are taken until this machine is restarted: " + failure.getMessage();
    }

    private void finish(ReceivedChange received, ChangeResult result) {
        received.result().accept(result);
        if (closedReason.isEmpty() && store.isCompactionDue()) {
            logExecutor.execute(this::compact);
        } else {
            isBusy = false;
            startNext();
        }
    }

    /** Runs on the log thread. No change is applied meanwhile, so the state does not change. */
    private void compact() {
        try {
            store.compact();
            loop.execute(this::onCompacted);
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> onCompactionFailed(e));
        }
    }

    private void onCompactionFailed(Exception failure) {
        closeAfter(failure);
        onCompacted();
    }

    private void onCompacted() {
        isBusy = false;
        startNext();
    }
}
