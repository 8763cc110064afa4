package loadbalancer.faults.process.check;

/**
 * One request as its client saw it.
 *
 * @param balancer that it was sent to, from 0
 * @param key what it is about
 * @param sentAt when its last byte was handed to the connection, or the attempt to connect began
 * @param timeLeft for which its client waits, from then
 * @param kept whether the connection had carried a request before
 * @param endedAt when the last byte of the answer came, or the connection ended
 * @param status of the answer, 0 without one
 */
public record Ask(
        String id,
        int balancer,
        Effect effect,
        String key,
        long sentAt,
        long timeLeft,
        boolean kept,
        End end,
        long endedAt,
        int status,
        String body) {
    /**
     * What is added to the name of a request that is sent once more, since a kept connection had
     * closed.
     */
    public static final String AGAIN = "-again";

    /** The name under which it was sent first. */
    public String wish() {
        return id.endsWith(AGAIN) ? id.substring(0, id.length() - AGAIN.length()) : id;
    }

    /** How it ended for its client. */
    public enum End {
        /** With a whole answer. */
        ANSWERED,
        /** With an answer that came in two, or that nobody asked for. */
        GARBLED,
        /** The connection ended without one. */
        CLOSED,
        /** Nothing came for much longer than it waits. */
        SILENT,
        /** No connection was had. */
        NOT_TAKEN,
        /** Its client closed the connection, at {@code endedAt}. */
        LEFT,
        /** Its client stopped half way, and got an error or the connection's end. */
        HALF_ENDED,
        /** Its client stopped half way and stayed, and nothing became of it. */
        HALF_KEPT
    }
}
