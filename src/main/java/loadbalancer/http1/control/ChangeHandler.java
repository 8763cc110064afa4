package loadbalancer.http1.control;

import java.util.function.Consumer;

/** Takes the changes that a control server receives. */
public interface ChangeHandler {
    /**
     * Starts a change, on the loop.
     *
     * @param json as received, not parsed yet
     * @param result called once, on the loop, from within this call or later
     */
    void change(byte[] json, Consumer<ChangeResult> result);
}
