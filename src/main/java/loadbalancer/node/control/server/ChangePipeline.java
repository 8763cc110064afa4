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
import loadbalancer.http1.control.ChangeAnswer;
import loadbalancer.http1.control.PublisherRunner;

/**
 * Makes one change at a time: reads it and appends it to the log on the writer's thread, checks and
 * applies it on the loop. It is answered and published once it is durable, never before. The server
 * bounds how many wait.
 */
final class ChangePipeline {
    private static final System.Logger LOG = System.getLogger(ChangePipeline.class.getName());
    private static final long RETRY_MILLIS = 2_000;

    private final Executor loop;
    private final Executor writer;
    private final ChangeStore store;
    private final PublisherRunner publisher;
    private final Queue<OpenChange> waiting = new ArrayDeque<>();
    private boolean busy;

    /** Why no change is taken any more; empty while they are. */
    private String whyClosed = "";

    private record OpenChange(byte[] json, Consumer<ChangeAnswer> answer) {}

    ChangePipeline(Executor loop, Executor writer, ChangeStore store, PublisherRunner publisher) {
        this.loop = loop;
        this.writer = writer;
        this.store = store;
        this.publisher = publisher;
    }

    /** Takes a change, on the loop. */
    void add(byte[] json, Consumer<ChangeAnswer> answer) {
        waiting.add(new OpenChange(json, answer));
        beginNext();
    }

    /**
     * Takes no more changes, on the loop; the one that is being appended is still applied if it can
     * be.
     */
    void stop() {
        whyClosed = "this machine is stopping";
        beginNext();
    }

    private void beginNext() {
        while (!busy && !waiting.isEmpty()) {
            OpenChange next = waiting.remove();
            if (whyClosed.isEmpty()) {
                busy = true;
                writer.execute(() -> read(next));
            } else {
                next.answer().accept(new ChangeAnswer.Unavailable(whyClosed, RETRY_MILLIS));
            }
        }
    }

    /** On the writer's thread: a large change takes a while to parse. */
    private void read(OpenChange open) {
        try {
            Change change = ResourceCodec.readChange(open.json());
            loop.execute(() -> prepare(open, change));
        } catch (InvalidChangeException e) {
            loop.execute(() -> finish(open, new ChangeAnswer.Unreadable(e.getMessage())));
        } catch (
                RuntimeException
                        e) { // its caller is still owed an answer, and those behind it theirs
            loop.execute(() -> finish(open, new ChangeAnswer.Unreadable("can't be read: " + e)));
        }
    }

    private void prepare(OpenChange open, Change change) {
        Optional<Revision> accepted = store.accepted(change.id());
        if (accepted.isPresent()) {
            finish(open, new ChangeAnswer.Accepted(accepted.get()));
            return;
        }
        try {
            PendingChange pending = store.prepare(change);
            writer.execute(() -> append(open, pending));
        } catch (InvalidChangeException e) {
            finish(open, new ChangeAnswer.Refused(e.getMessage()));
        } catch (RejectedExecutionException e) {
            finish(open, new ChangeAnswer.Unavailable(whyClosed, RETRY_MILLIS));
        }
    }

    /** On the writer's thread. */
    private void append(OpenChange open, PendingChange pending) {
        try {
            store.append(pending);
            loop.execute(() -> apply(open, pending));
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> appendFailed(open, e));
        }
    }

    private void apply(OpenChange open, PendingChange pending) {
        Revision revision = store.apply(pending);
        Change change = pending.change();
        List<VersionedResource> put =
                change.put().stream()
                        .map(resource -> new VersionedResource(revision, resource))
                        .toList();
        publisher.changed(revision, put, change.delete());
        finish(open, new ChangeAnswer.Accepted(revision));
    }

    /** Whether the change is on the disk can't be known; the next start reads what is. */
    private void appendFailed(OpenChange open, Exception failure) {
        closeAfter(failure);
        finish(open, new ChangeAnswer.Unavailable(whyClosed, RETRY_MILLIS));
    }

    private void closeAfter(Exception failure) {
        LOG.log(Level.ERROR, "no more changes are taken until a restart", failure);
        whyClosed = "no changes are taken until this machine is restarted: " + failure.getMessage();
    }

    private void finish(OpenChange open, ChangeAnswer answer) {
        open.answer().accept(answer);
        if (whyClosed.isEmpty() && store.compactionDue()) {
            writer.execute(this::compact);
        } else {
            busy = false;
            beginNext();
        }
    }

    /** On the writer's thread; no change is applied meanwhile, so that the state stands still. */
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
        busy = false;
        beginNext();
    }
}
