package loadbalancer.node.control.server;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.store.ChangeStore;
import loadbalancer.control.store.DamagedLogException;
import loadbalancer.control.store.FileLogDirectory;
import loadbalancer.http1.control.ChangeResult;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.transport.Transport;

/** The role of a writer: accepts changes and stores them in its log. */
final class WriterRole implements ControlServerRole {
    private static final System.Logger LOG = System.getLogger(WriterRole.class.getName());

    private final Transport transport;
    private final ChangeStore store;
    private final ExecutorService logExecutor;
    private ChangePipeline pipeline;

    private WriterRole(Transport transport, ChangeStore store) {
        this.transport = transport;
        this.store = store;
        this.logExecutor = BackgroundThreads.single("control-log");
    }

    /**
     * Reads the log and starts a new epoch.
     *
     * @throws IOException if the log can't be read or written
     * @throws DamagedLogException if the log can't be read without losing accepted changes
     */
    static WriterRole open(Transport transport, ControlServerSettings settings)
            throws IOException, DamagedLogException {
        ChangeStore store =
                ChangeStore.open(
                        FileLogDirectory.open(settings.folder().orElseThrow()),
                        settings.minEpoch());
        store.recoveryNote().ifPresent(note -> LOG.log(Level.WARNING, note));
        return new WriterRole(transport, store);
    }

    @Override
    public ResourceState state() {
        return store.state();
    }

    @Override
    public String notReadyReason() {
        return "";
    }

    @Override
    public void start(PublisherRunner publisher) {
        pipeline = new ChangePipeline(transport.loop(), logExecutor, store, publisher);
    }

    @Override
    public void change(byte[] json, Consumer<ChangeResult> result) {
        pipeline.add(json, result);
    }

    @Override
    public void stop() {
        pipeline.stop();
    }

    @Override
    public void observeRevision(Revision revision) {
        store.fence(revision.epoch());
    }

    @Override
    public void close() {
        BackgroundThreads.finish(logExecutor);
        try {
            store.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "can't close the control log: " + e.getMessage());
        }
    }
}
