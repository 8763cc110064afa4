package loadbalancer.control.subscribe;

/** Holds one line of bounded length about the last failed update or connection, for the status. */
final class LastFailure {
    private static final int MAX_CHARS = 300;

    private String line = "";

    void set(String reason) {
        String first = reason.lines().findFirst().orElse("");
        line = first.substring(0, Math.min(first.length(), MAX_CHARS));
    }

    void clear() {
        line = "";
    }

    /** Returns the line; empty if nothing has failed since the last completed update. */
    String line() {
        return line;
    }
}
