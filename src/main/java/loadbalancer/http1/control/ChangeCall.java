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
 * An operator's calls to one control machine. Each blocks until its response is complete; not for
 * the loop's thread.
 */
public final class ChangeCall implements AutoCloseable {
    /** A writer may have other changes to write first. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;

    private static final byte[] EMPTY_BODY = {};

    private final Transport transport;
    private final RequestConnection connection;

    /** To that machine; connects with the first call. */
    public ChangeCall(Transport transport, InetSocketAddress machine) {
        this.transport = transport;
        this.connection = new RequestConnection(transport, machine, RESPONSE_TIMEOUT_MILLIS);
    }

    /**
     * Makes a change; gives its revision once it is durable.
     *
     * @throws IOException if no response came or it can't be read; whether the change was made is
     *     then unknown
     * @throws CallRejectedException if the machine did not make the change
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
     * The status of the machine: which revision is in force where.
     *
     * @throws IOException if no response came or it can't be read
     * @throws CallRejectedException if the machine gave no status
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
