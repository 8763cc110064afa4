package loadbalancer.control.subscribe;

/** One bounded line on the last update or connection that failed, for the status. */
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

    /** Empty if nothing has failed since the last completed update. */
    String line() {
        return line;
    }
}
