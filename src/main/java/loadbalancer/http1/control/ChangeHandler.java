package loadbalancer.http1.control;

import java.util.function.Consumer;

/** Whoever takes changes. */
public interface ChangeHandler {
    /**
     * Takes a change, on the loop, and answers once.
     *
     * @param json as it came, not read yet
     * @param answer told on the loop, now or later
     */
    void change(byte[] json, Consumer<ChangeAnswer> answer);
}
