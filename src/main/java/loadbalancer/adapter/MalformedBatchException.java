package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** A line is not a batch of events. */
final class MalformedBatchException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    MalformedBatchException(String message) {
        super(message);
    }
}
