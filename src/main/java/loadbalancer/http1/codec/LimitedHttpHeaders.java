package loadbalancer.http1.codec;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The header fields of one message, limited in number. A decoded field takes many times the bytes
 * that it has on the wire, so a limit on the bytes of a head alone doesn't bound its memory. Used
 * on the event loop only.
 */
public final class LimitedHttpHeaders extends DefaultHttpHeaders {
    /** Maximum number of fields in a message, as in other HTTP servers. */
    static final int MAX_FIELDS = 100;

    /** Memory of a field beside its characters: the entry, and two strings with their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 136;

    private final LimitedHttpHeadersFactory factory;
    private long heldBytes;

    LimitedHttpHeaders(LimitedHttpHeadersFactory factory, DefaultHttpHeadersFactory validators) {
        super(validators.getNameValidator(), validators.getValueValidator());
        this.factory = factory;
    }

    /**
     * Adds a field that the decoder has read.
     *
     * @throws IllegalArgumentException if the field is invalid, or there are too many fields
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= MAX_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields");
        }
        super.add(name, value);
        hold(FIELD_OVERHEAD_BYTES + name.length() + value.toString().length());
        return this;
    }

    private void hold(long bytes) {
        heldBytes += bytes;
        factory.hold(bytes);
    }

    /** Records that these fields are no longer held. */
    private void release() {
        hold(-heldBytes);
    }

    /** Records that the fields of a message are no longer held. */
    public static void release(HttpHeaders fields) {
        if (fields instanceof LimitedHttpHeaders limited) {
            limited.release();
        }
    }
}
