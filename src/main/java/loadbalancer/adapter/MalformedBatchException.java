package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** Thrown when a line of input is not a batch of events. */
final class MalformedBatchException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    MalformedBatchException(String message) {
        super(message);
    }
}
