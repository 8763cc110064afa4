import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Discovery as the protocol page has it: the whole list, and watches with a line every 2 s. */
final class Discovery implements AutoCloseable {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private final Server server;
    private long version = 1;

    Discovery() throws IOException {
        server = new Server(0, this::serve);
        Server.start("heartbeat", this::beat);
    }

    String address() {
        return server.address();
    }

    /** Lists an upstream in a state from now on. */
    synchronized void put(String id, String address, String zone, String state) {
        version++;
        String entry =
                String.format(
                        "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"fast\",\"cell\":0,"
                                + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
                        id, address, zone, state);
        if (state.equals("Gone")) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
        String line = "{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n";
        watches.forEach(watch -> chunk(watch, line));
    }

    private synchronized String list() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                + String.join(",", entries.values()) + "]}\n";
    }

    private void serve(Socket socket, InputStream in) throws Exception {
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            if (!call.start().contains("follow=1")) {
                socket.getOutputStream().write(Http.answer("200 OK", "", list()));
                continue;
            }
            synchronized (this) {
                socket.getOutputStream()
                        .write(Http.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                chunk(socket, list());
                watches.add(socket);
            }
            in.read();
            watches.remove(socket);
            return;
        }
    }

    private void beat() {
        while (true) {
            pause(1_000);
            watches.forEach(watch -> chunk(watch, "\n"));
        }
    }

    private synchronized void chunk(Socket watch, String line) {
        try {
            watch.getOutputStream()
                    .write(Http.ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
