package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One balancer's connections to one server: those in use are counted there, the idle ones wait
 * here.
 */
final class Connections {
    private final Deque<Long> idleSince = new ArrayDeque<>();
    boolean sweeping;
    private int life = -1;
    private Server server;

    /** Takes an idle connection, the one used last; false if a new one is needed. */
    boolean take(Server to, long now, long idleTime) {
        adopt(to);
        expire(now, idleTime);
        return idleSince.pollLast() != null;
    }

    private void adopt(Server to) {
        server = to;
        // A process that ended closed its connections; one that vanished silently told nobody.
        if (life != to.life() && !to.silent()) {
            idleSince.clear();
            life = to.life();
        }
    }

    void giveBack(Server to, int carriedBy, long now) {
        adopt(to);
        if (carriedBy == life) {
            idleSince.addLast(now);
        }
    }

    /** Closes those that were idle for too long; the number left. */
    int expire(long now, long idleTime) {
        int closed = 0;
        while (!idleSince.isEmpty() && now - idleSince.peekFirst() >= idleTime) {
            idleSince.pollFirst();
            closed++;
        }
        if (closed > 0 && server.life() == life) {
            server.connected(-closed);
        }
        return idleSince.size();
    }

    void closeIdle(Server to) {
        adopt(to);
        expire(Long.MAX_VALUE / 2, 0);
    }

    void closeAll() {
        if (server != null) {
            closeIdle(server);
        }
    }
}
