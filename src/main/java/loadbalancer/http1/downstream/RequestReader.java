package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import loadbalancer.proxy.RequestBody;

/**
 * Assembles the requests of one client connection from HTTP parts, and queues them until their turn
 * comes (RFC 9112, section 9.3.2: pipelining). Reading pauses while there is no room. Used on the
 * event loop only; the request that {@link #poll} gives out belongs to the caller, who releases it.
 */
final class RequestReader {
    /** Requests that may wait behind the one in service; a client that sends more is rejected. */
    private static final int MAX_PIPELINED = 8;

    private final InboundByteMonitor inbound;
    private final LongSupplier nanoTime;
    private final Deque<PipelinedRequest> queue = new ArrayDeque<>();

    /** The request of which more is to come; null between requests. */
    private PipelinedRequest incoming;

    RequestReader(InboundByteMonitor inbound, LongSupplier nanoTime) {
        this.inbound = inbound;
        this.nanoTime = nanoTime;
    }

    /**
     * Takes the next part of the stream.
     *
     * @return the request that this part completes, null if none
     * @throws RejectedRequestException if what follows can't be read as requests any more
     */
    PipelinedRequest read(HttpObject part) throws RejectedRequestException {
        if (part.decoderResult().isFailure()) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "malformed request");
        }
        if (part instanceof HttpRequest head) {
            begin(head);
        } else if (part instanceof HttpContent content && incoming != null) {
            return readBody(content);
        }
        return null;
    }

    private void begin(HttpRequest head) throws RejectedRequestException {
        long length = contentLength(head);
        boolean chunked = HttpUtil.isTransferEncodingChunked(head);
        if (length > RequestBody.MAX_BYTES) {
            throw tooLarge();
        }
        if (head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && (!chunked || HttpUtil.isContentLengthSet(head))) {
            throw new RejectedRequestException(
                    HttpResponseStatus.BAD_REQUEST, "body with no clear end");
        }
        if (queue.size() > MAX_PIPELINED) {
            throw new RejectedRequestException(
                    HttpResponseStatus.BAD_REQUEST, "too many requests at once");
        }
        incoming =
                new PipelinedRequest(
                        head, new RequestBody(chunked ? -1 : length, nanoTime, this::updateFlow));
        queue.add(incoming);
    }

    private static long contentLength(HttpRequest head) throws RejectedRequestException {
        try {
            return HttpUtil.getContentLength(head, 0L);
        } catch (NumberFormatException e) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "malformed request");
        }
    }

    private static RejectedRequestException tooLarge() {
        return new RejectedRequestException(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
    }

    private PipelinedRequest readBody(HttpContent content) throws RejectedRequestException {
        PipelinedRequest request = incoming;
        if (request.body.receivedBytes() + content.content().readableBytes()
                > RequestBody.MAX_BYTES) {
            throw tooLarge();
        }
        if (content instanceof LastHttpContent) {
            incoming = null;
            request.keepLast(content.content(), nanoTime.getAsLong());
            return request;
        }
        request.body.add(content.content().retain());
        updateFlow();
        return null;
    }

    /** Pauses or resumes reading as there is room; the rest of a released request is dropped. */
    void updateFlow() {
        boolean bodyHasRoom = incoming == null || incoming.body.hasRoom();
        if (queue.size() < MAX_PIPELINED && bodyHasRoom) {
            inbound.resumeDelivery();
        } else {
            inbound.pauseDelivery();
        }
    }

    /** Whether part of a request has been read and the rest is to come. */
    boolean isMidRequest() {
        return incoming != null;
    }

    /** Whether more is to come of that request. */
    boolean isIncoming(PipelinedRequest request) {
        return incoming != null && incoming == request;
    }

    boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    /** Whether exactly one request waits: the one that has just begun, if one has. */
    boolean hasOneQueued() {
        return queue.size() == 1;
    }

    /** Whether the next request may be served: it is complete, or too large to be buffered. */
    boolean isNextReady() {
        PipelinedRequest next = queue.peek();
        return next != null
                && (next.body.isComplete()
                        || next.body.receivedBytes() > RequestBody.MAX_BUFFERED_BYTES);
    }

    /** The next request, which is no longer queued. */
    PipelinedRequest poll() {
        return queue.poll();
    }

    /** Drops all that is queued and what is still to come. */
    void release() {
        queue.forEach(PipelinedRequest::release);
        queue.clear();
        incoming = null;
    }
}
