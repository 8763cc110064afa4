package loadbalancer.http1.control;

import java.util.function.Consumer;

/** Handles the changes that a control server receives. */
public interface ChangeHandler {
    /**
     * Starts to handle a change; called on the event loop.
     *
     * @param json the change as received, not parsed yet
     * @param result receives the result exactly once, on the event loop, during this call or later
     */
    void change(byte[] json, Consumer<ChangeResult> result);
}
