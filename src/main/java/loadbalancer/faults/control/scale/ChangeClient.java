package loadbalancer.faults.control.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.faults.process.peer.RealTime;

/**
 * Makes changes, one after the other, and keeps what the state has to be after them. A change whose
 * answer was lost is submitted again under the same id until it is answered.
 */
final class ChangeClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long RETRY_MILLIS = 100;
    private static final int ACCEPTED = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final ObjectMapper json = new ObjectMapper();
    private final InetSocketAddress writer;
    private final Deadline deadline;
    private final ResourceState expected = new ResourceState();

    ChangeClient(InetSocketAddress writer, Deadline deadline) {
        this.writer = writer;
        this.deadline = deadline;
    }

    /** Submits a change until it is accepted; one that is refused fails the run. */
    synchronized AcceptedChange submit(Change change) {
        long submitted = RealTime.micros();
        HttpRequest request =
                HttpRequest.newBuilder(uri("/v1/changes"))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(ResourceCodec.encode(change)))
                        .build();
        HttpResponse<String> answer = send(request);
        while (answer == null || answer.statusCode() == UNAVAILABLE) {
            deadline.pause(RETRY_MILLIS);
            answer = send(request);
        }
        long answered = RealTime.micros();
        if (answer.statusCode() != ACCEPTED) {
            throw new ScaleFailure(
                    "the writer refused " + change.id() + ": " + answer.body().strip());
        }
        Revision revision = Revision.parse(read(answer.body()).path("revision").asText());
        expected.apply(revision, change);
        return new AcceptedChange(revision, submitted, answered);
    }

    /** The digest of all resources that the writer holds. */
    Digest digestAtWriter() {
        HttpRequest request =
                HttpRequest.newBuilder(uri("/v1/control/status")).timeout(TIMEOUT).build();
        HttpResponse<String> answer = send(request);
        if (answer == null || answer.statusCode() != ACCEPTED) {
            throw new ScaleFailure("the writer does not tell its status");
        }
        return Digest.parse(read(answer.body()).path("digest").asText());
    }

    /** The revision of the last accepted change. */
    synchronized Revision latest() {
        return expected.revision();
    }

    /** The digest that the accepted changes make of a scope. */
    synchronized Digest expectedDigest(Scope scope) {
        return expected.digest(scope);
    }

    private URI uri(String path) {
        return URI.create("http://" + writer.getHostString() + ":" + writer.getPort() + path);
    }

    /** The answer; null if there was none. */
    private HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
    }

    private JsonNode read(String text) {
        try {
            return json.readTree(text);
        } catch (IOException e) {
            throw new ScaleFailure("the writer answered something other than JSON", e);
        }
    }
}
