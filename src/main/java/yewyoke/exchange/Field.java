package yewyoke.exchange;

/** One field of a message's head; names are as the platform writes them, and compared without case. */
public record Field(CharSequence name, String value) {}
