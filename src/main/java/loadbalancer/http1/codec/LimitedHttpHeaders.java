package loadbalancer.http1.codec;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** The header fields of one message, whose memory is reserved. Used on the event loop only. */
public final class LimitedHttpHeaders extends DefaultHttpHeaders {
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
     * @throws IllegalArgumentException if the field is invalid
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
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
