package loadbalancer.http1.codec;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import loadbalancer.transport.MemoryQuota;

/**
 * Creates the header fields of the messages that one connection receives, and reserves what they
 * take. Heads that arrive in part count, too. Used on the event loop only; closed with the
 * connection.
 */
public final class LimitedHttpHeadersFactory implements AutoCloseable {
    private final MemoryQuota.Reservation reservation;
    private boolean closed;

    /** Creates a factory that reserves from a quota. */
    public LimitedHttpHeadersFactory(MemoryQuota quota) {
        this.reservation = quota.newReservation(MemoryQuota.Purpose.HEAD);
    }

    /** Creates the configuration of a decoder that uses this factory. */
    public HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setHeadersFactory(new Fields(DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(new Fields(DefaultHttpHeadersFactory.trailersFactory()));
    }

    void hold(long bytes) {
        if (!closed) {
            reservation.resizeTo(reservation.bytes() + bytes);
        }
    }

    /** Records that none of the header fields created so far is held. */
    public void releaseAll() {
        reservation.close();
    }

    /** Returns all to the quota; header fields that are still used are not counted any more. */
    @Override
    public void close() {
        closed = true;
        reservation.close();
    }

    /** Creates the fields of either the heads or the trailers. */
    private final class Fields implements HttpHeadersFactory {
        private final DefaultHttpHeadersFactory validators;

        Fields(DefaultHttpHeadersFactory validators) {
            this.validators = validators;
        }

        @Override
        public HttpHeaders newHeaders() {
            return new LimitedHttpHeaders(LimitedHttpHeadersFactory.this, validators);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }
}
