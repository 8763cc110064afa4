package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** Thrown when the instance of an event was never created or has been destroyed. */
final class UnknownInstanceException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    UnknownInstanceException(int instance) {
        super("instance " + instance + " does not exist");
    }
}
