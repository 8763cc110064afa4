package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.transport.Transport;

/**
 * Makes an operator's calls to one control server. Each call blocks until its response is complete
 * and must not be made on the event loop.
 */
public final class ControlApiClient implements AutoCloseable {
    /** Allows for the time in which the writer stores other changes first. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;

    private static final byte[] EMPTY_BODY = {};

    private final Transport transport;
    private final RequestConnection connection;

    /** Creates a client of the given control server; the first call connects. */
    public ControlApiClient(Transport transport, InetSocketAddress server) {
        this.transport = transport;
        this.connection = new RequestConnection(transport, server, RESPONSE_TIMEOUT_MILLIS);
    }

    /**
     * Submits a change and returns its revision once the change is durable.
     *
     * @throws IOException if no valid response was received; it is then unknown whether the change
     *     was made
     * @throws CallRejectedException if the server did not make the change
     */
    public Revision change(Change change) throws IOException, CallRejectedException {
        CallResponse response =
                call(HttpMethod.POST, ControlProtocol.CHANGE_PATH, ResourceCodec.encode(change));
        try {
            return MessageCodec.readAccepted(response.body()).revision();
        } catch (InvalidChangeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /**
     * Returns the status of the server, which includes the revisions in force at its subscribers.
     *
     * @throws IOException if no valid response was received
     * @throws CallRejectedException if the server rejected the call
     */
    public ControlStatus status() throws IOException, CallRejectedException {
        CallResponse response = call(HttpMethod.GET, ControlProtocol.STATUS_PATH, EMPTY_BODY);
        try {
            return MessageCodec.readStatus(response.body());
        } catch (InvalidChangeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private CallResponse call(HttpMethod method, String path, byte[] body)
            throws IOException, CallRejectedException {
        CompletableFuture<CallResponse> pending = new CompletableFuture<>();
        transport.loop().execute(() -> send(method, path, body, pending));
        CallResponse response = await(pending);
        if (!response.isSuccess()) {
            throw new CallRejectedException(response.status(), response.firstLine());
        }
        return response;
    }

    private void send(
            HttpMethod method, String path, byte[] body, CompletableFuture<CallResponse> pending) {
        connection
                .send(method, path, body)
                .whenComplete(
                        (response, failure) -> {
                            if (failure == null) {
                                pending.complete(response);
                            } else {
                                pending.completeExceptionally(failure);
                            }
                        });
    }

    private static CallResponse await(CompletableFuture<CallResponse> pending) throws IOException {
        try {
            return pending.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for a response");
        }
    }

    @Override
    public void close() {
        transport.loop().execute(connection::close);
    }
}
