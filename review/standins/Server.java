import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket on loopback with a thread for each connection. */
final class Server implements AutoCloseable {
    /** Serves one connection, which is closed when it returns or throws. */
    interface Handler {
        void serve(Socket socket, InputStream in) throws Exception;
    }

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(int port, Handler handler) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1024);
        start("accept", () -> accept(handler));
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept(Handler handler) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                start("connection", () -> serve(handler, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Handler handler, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            handler.serve(socket, Http.buffered(socket.getInputStream()));
        } catch (Exception e) {
            // the connection ends
        } finally {
            open.remove(socket);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            // closed all the same
        }
    }
}
