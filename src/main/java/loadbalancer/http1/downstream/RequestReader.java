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
import java.util.function.BooleanSupplier;
import loadbalancer.http1.codec.LimitedHttpHeaders;
import loadbalancer.proxy.RequestBody;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/**
 * Assembles the requests of one client connection from HTTP parts and queues pipelined ones (RFC
 * 9112, section 9.3.2). Delivery pauses while the queue or the current body is full, and, under
 * memory pressure, as soon as anything is queued behind the request in service. Sheds a request for
 * which there is no memory. Used on the event loop only; the caller of {@link #poll} owns the
 * returned request and releases it.
 */
final class RequestReader {
    /** Limit of requests queued behind the one in service; a client that exceeds it is rejected. */
    private static final int MAX_PIPELINED = 8;

    private final InboundByteMonitor inbound;
    private final Transport transport;
    private final MemoryQuota quota;
    private final BooleanSupplier isServing;
    private final Deque<PipelinedRequest> queue = new ArrayDeque<>();

    /** The request that is being received; null between requests. */
    private PipelinedRequest incoming;

    /**
     * Creates a reader without requests.
     *
     * @param isServing whether a request that was polled is still in service
     */
    RequestReader(InboundByteMonitor inbound, Transport transport, BooleanSupplier isServing) {
        this.inbound = inbound;
        this.transport = transport;
        this.quota = transport.memoryQuota();
        this.isServing = isServing;
    }

    /**
     * Reads the next part of the inbound stream.
     *
     * @return the request that this part completes; null if it completes none
     * @throws RejectedRequestException if the request is invalid; the stream can't be read any
     *     further
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
        RequestBody body =
                new RequestBody(
                        chunked ? -1 : length, transport::nanoTime, quota, this::updateFlow);
        boolean isAlone = queue.isEmpty() && !isServing.getAsBoolean();
        incoming = new PipelinedRequest(head, body);
        queue.add(incoming);
        // A process without memory for requests is still alive, which a health check asks for.
        if (quota.isExhausted() && !(isAlone && RequestValidator.isHealthCheck(head))) {
            shedIncoming();
        }
        updateFlow();
    }

    private void shedIncoming() {
        quota.countRefusal();
        incoming.shed();
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
        // A request in service can't be shed; of its body, no more than one read is buffered.
        if (queue.peekLast() == request
                && !request.body.tryReserve(content.content().readableBytes())) {
            shedIncoming();
        }
        if (content instanceof LastHttpContent last) {
            incoming = null;
            LimitedHttpHeaders.release(last.trailingHeaders());
            request.holdBackLast(content.content(), transport.nanoTime());
            return request;
        }
        request.body.add(content.content().retain());
        updateFlow();
        return null;
    }

    /**
     * Pauses or resumes delivery, depending on whether the queue and the current body have room. A
     * body that was released always has room, and its remaining bytes are dropped.
     */
    void updateFlow() {
        boolean bodyHasRoom = incoming == null || incoming.body.hasRoom();
        if (hasQueueRoom() && bodyHasRoom) {
            inbound.resumeDelivery();
        } else {
            inbound.pauseDelivery();
        }
    }

    private boolean hasQueueRoom() {
        if (!quota.isUnderPressure()) {
            return queue.size() < MAX_PIPELINED;
        }
        boolean isIncomingNext = !isServing.getAsBoolean() && queue.peek() == incoming;
        return queue.isEmpty() || isIncomingNext;
    }

    /** Whether a request has been read in part. */
    boolean isMidRequest() {
        return incoming != null;
    }

    /** Whether the given request is still being received. */
    boolean isIncoming(PipelinedRequest request) {
        return incoming != null && incoming == request;
    }

    boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    /** Whether exactly one request is queued; a request that is being received counts. */
    boolean hasOneQueued() {
        return queue.size() == 1;
    }

    /**
     * Whether the next request can be served: it is complete, it was shed, or its body is too large
     * to be buffered as a whole.
     */
    boolean isNextReady() {
        PipelinedRequest next = queue.peek();
        return next != null
                && (next.body.isComplete()
                        || next.isShed()
                        || next.body.receivedBytes() > RequestBody.MAX_BUFFERED_BYTES);
    }

    /** Removes and returns the next request; null if the queue is empty. */
    PipelinedRequest poll() {
        return queue.poll();
    }

    /** Whether the next request has been read completely, so that others may be behind it. */
    boolean isNextComplete() {
        return !queue.isEmpty() && queue.peek().body.isComplete();
    }

    /** Releases the requests behind the next one, and ignores the rest of the inbound stream. */
    void releaseBehindNext() {
        PipelinedRequest next = queue.poll();
        release();
        queue.add(next);
    }

    /** Releases all queued requests and ignores the rest of the one that is being received. */
    void release() {
        queue.forEach(PipelinedRequest::release);
        queue.clear();
        incoming = null;
    }
}
