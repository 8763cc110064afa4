package loadbalancer.node.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.http1.control.CallRejectedException;
import loadbalancer.http1.control.ControlStatus;
import loadbalancer.settings.ControlFile;
import org.junit.jupiter.api.Test;

/** Control servers that stop, restart or are replaced. */
class ControlServerRestartTest extends ControlProcessFixture {
    @Test
    void followerWithoutWriterServesStoredStateOrDefersSubscribers() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        ControlFile file = followerFile(writer.address());
        ControlProcess follower = start(file);
        new TestBalancer(follower.address()).awaitRevision(first);
        stop(writer);
        stop(follower);

        ControlProcess restarted = start(file);
        assertEquals(first, new TestBalancer(restarted.address()).awaitRevision(first).revision());

        ControlProcess empty =
                start(
                        file(
                                "empty",
                                "role = \"follower\"\nfollow = [\""
                                        + text(writer.address())
                                        + "\"]\n"));
        Sockets.Client subscriber = new Sockets.Client(empty.address());
        opened.add(subscriber);
        Sockets.Message response =
                subscriber.write("GET /v1/control?follow=1&name=b2 HTTP/1.1\r\n\r\n").read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.headers().get("retry-after")) >= 1);
    }

    @Test
    void followerStoresStateBeforeItIsKilled() throws Exception {
        ControlProcess writer = start(writerFile());
        Revision first = call(writer).change(firstChange());
        start(followerFile(writer.address()));
        Path stored = folder.resolve("follower").resolve("control-state");
        ControlFile copy = file("copy", "role = \"follower\"\nfollow = [\"127.0.0.1:1\"]\n");
        Files.createDirectories(folder.resolve("copy"));
        while (!Files.exists(stored)) {
            continue;
        }
        Files.copy(
                stored,
                folder.resolve("copy").resolve("control-state")); // as a crash would leave it now
        ControlProcess restarted = start(copy);
        assertEquals(first, new TestBalancer(restarted.address()).awaitRevision(first).revision());
    }

    @Test
    void followerReceivesChangesOfRestartedWriter() throws Exception {
        ControlProcess writer = start(writerFile());
        InetSocketAddress address = writer.address();
        ControlProcess follower = start(followerFile(address));
        Revision first = call(writer).change(firstChange());
        TestBalancer balancer = new TestBalancer(follower.address());
        balancer.awaitRevision(first);
        stop(writer);
        Path file = folder.resolve("writer.toml");
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:0", text(address)));
        ControlProcess restarted = start(ControlFile.read(file));
        Revision second = call(restarted).change(secondChange());
        assertEquals(new Revision(first.epoch() + 1, first.number() + 1), second);
        assertEquals(call(restarted).status().digest(), balancer.awaitRevision(second).digest());
    }

    @Test
    void restartedWriterKeepsAcceptedChanges() throws Exception {
        ControlFile file = writerFile();
        ControlProcess writer = start(file);
        Revision first = call(writer).change(firstChange());
        Digest digest = call(writer).status().digest();
        stop(writer);
        ControlProcess restarted = start(file);
        ControlStatus status = call(restarted).status();
        assertEquals(digest, status.digest());
        assertTrue(status.revision().isAfter(first));
        assertEquals(first, call(restarted).change(firstChange()));
        assertTrue(call(restarted).change(secondChange()).isAfter(status.revision()));
    }

    @Test
    void writerRejectsChangesAfterReportOfHigherEpoch() throws Exception {
        ControlProcess writer = start(writerFile());
        Sockets.Client follower = new Sockets.Client(writer.address());
        opened.add(follower);
        String report =
                "{\"machine\":\"f\",\"distribution\":{\"latest\":\"9.1\",\"oldestInForce\":\"9.1\","
                        + "\"rejections\":[]}}";
        follower.write(
                "POST /v1/control/reports HTTP/1.1\r\nContent-Length: "
                        + report.length()
                        + "\r\n\r\n"
                        + report);
        assertEquals(204, follower.read().status());
        CallRejectedException rejection =
                assertThrows(CallRejectedException.class, () -> call(writer).change(firstChange()));
        assertEquals(503, rejection.status());
        assertTrue(
                rejection.getMessage().contains("another writer has epoch 9"),
                rejection.getMessage());
    }
}
