package loadbalancer.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An endpoint whose handler reads and writes the bytes of each connection by itself, at its own
 * pace. Its receive buffer is small, so that what it does not read stays with the sender.
 */
final class RawEndpoint implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int BACKLOG = 512;

    /** Serves a request whose head has been read; the connection ends when it returns false. */
    interface Handler {
        boolean serve(String head, InputStream in, Socket socket) throws Exception;
    }

    /** The heads of all requests, in the order in which they arrived. */
    final List<String> heads = new CopyOnWriteArrayList<>();

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener = new ServerSocket();

    RawEndpoint(Handler handler) throws IOException {
        this(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), handler);
    }

    RawEndpoint(InetSocketAddress at, Handler handler) throws IOException {
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.setReuseAddress(true);
        listener.bind(at, BACKLOG);
        start(() -> accept(handler));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns how many requests whose head contains this text have arrived. */
    long count(String text) {
        return heads.stream().filter(head -> head.contains(text)).count();
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(Handler handler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                start(() -> serve(handler, socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Handler handler, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
            for (String head = head(in); head != null; head = head(in)) {
                heads.add(head);
                if (!handler.serve(head, in, socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            // the connection ends
        } finally {
            open.remove(socket);
        }
    }

    /** Reads a head up to its empty line; null if the connection ends before. */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Refuses further connections; those that are open stay. */
    void stopListening() throws IOException {
        listener.close();
    }

    /** Resets all connections, as those of a process are that dies. */
    void resetConnections() throws IOException {
        for (Socket socket : open) {
            try (socket) {
                socket.setSoLinger(true, 0);
            } catch (SocketException e) {
                // its handler has closed it
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopListening();
        resetConnections();
    }
}
