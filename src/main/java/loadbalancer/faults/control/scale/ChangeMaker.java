package loadbalancer.faults.control.scale;

import java.util.concurrent.TimeUnit;

/** Goes on making changes in the background until it is told to end. */
final class ChangeMaker implements AutoCloseable {
    private final ChangeClient client;
    private final ScaleChanges changes;
    private final long pauseMillis;
    private final Thread thread = new Thread(this::run, "changes");
    private volatile boolean ending;
    private volatile RuntimeException failure;
    private volatile int made;

    ChangeMaker(ChangeClient client, ScaleChanges changes, double changesPerSecond) {
        this.client = client;
        this.changes = changes;
        this.pauseMillis = (long) (TimeUnit.SECONDS.toMillis(1) / changesPerSecond);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!ending) {
                client.submit(changes.next());
                made++;
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            failure = e;
        }
    }

    /** Waits for the last change; gives how many there were. */
    int finish() {
        ending = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
        if (failure != null) {
            throw new ScaleFailure("a change could not be made", failure);
        }
        return made;
    }

    @Override
    public void close() {
        ending = true;
        thread.interrupt();
    }
}
