package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** An event is for an instance that was not created, or has been destroyed. */
final class UnknownInstanceException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    UnknownInstanceException(int instance) {
        super("an event for instance " + instance + ", which does not exist");
    }
}
