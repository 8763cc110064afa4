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

/** Calls of an operator to one control machine; each waits for its answer, never on the loop. */
public final class ChangeCall implements AutoCloseable {
    /** A writer may have other changes to write first. */
    private static final long ANSWER_TIMEOUT_MILLIS = 30_000;

    private static final byte[] NOTHING = {};

    private final Transport transport;
    private final RequestConnection connection;

    /** To that machine. */
    public ChangeCall(Transport transport, InetSocketAddress machine) {
        this.transport = transport;
        this.connection = new RequestConnection(transport, machine, ANSWER_TIMEOUT_MILLIS);
    }

    /** Makes a change; gives its revision once it is durable. */
    public Revision change(Change change) throws IOException, ChangeRefusedException {
        HttpAnswer answer =
                call(HttpMethod.POST, ControlProtocol.CHANGE_PATH, ResourceCodec.encode(change));
        try {
            return MessageCodec.readAccepted(answer.body()).revision();
        } catch (InvalidChangeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Asks which revision is in force where. */
    public ControlStatus status() throws IOException, ChangeRefusedException {
        HttpAnswer answer = call(HttpMethod.GET, ControlProtocol.STATUS_PATH, NOTHING);
        try {
            return MessageCodec.readStatus(answer.body());
        } catch (InvalidChangeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private HttpAnswer call(HttpMethod method, String path, byte[] body)
            throws IOException, ChangeRefusedException {
        CompletableFuture<HttpAnswer> answered = new CompletableFuture<>();
        transport
                .loop()
                .execute(
                        () ->
                                connection
                                        .send(method, path, body)
                                        .whenComplete(
                                                (answer, failure) -> {
                                                    if (failure == null) {
                                                        answered.complete(answer);
                                                    } else {
                                                        answered.completeExceptionally(failure);
                                                    }
                                                }));
        HttpAnswer answer = await(answered);
        if (!answer.succeeded()) {
            throw new ChangeRefusedException(answer.status(), answer.firstLine());
        }
        return answer;
    }

    private static HttpAnswer await(CompletableFuture<HttpAnswer> answered) throws IOException {
        try {
            return answered.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for an answer");
        }
    }

    @Override
    public void close() {
        transport.loop().execute(connection::close);
    }
}
