package loadbalancer.adapter;

import loadbalancer.settings.InvalidInputException;

/** A field of an event has a value that it can't have. */
final class InvalidFieldException extends InvalidInputException {
    private static final long serialVersionUID = 1;

    InvalidFieldException(String fieldName, String fault) {
        super("field " + fieldName + " " + fault);
    }
}
