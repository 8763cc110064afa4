package loadbalancer.control.subscribe;

/** One bounded line on what was given up last, for the status. */
final class LastRefusal {
    private static final int MAX_LENGTH = 300;

    private String line = "";

    void set(String reason) {
        String first = reason.lines().findFirst().orElse("");
        line = first.substring(0, Math.min(first.length(), MAX_LENGTH));
    }

    void clear() {
        line = "";
    }

    String line() {
        return line;
    }
}
