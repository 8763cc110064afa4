package loadbalancer.faults;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/** Gives out buffers until it is told that there is no memory, and knows how much is out. */
final class ScarceAllocator extends AbstractByteBufAllocator {
    /** Of its own, so that what is not given back shows. */
    private final UnpooledByteBufAllocator source = new UnpooledByteBufAllocator(false);

    private boolean empty;

    void empty(boolean now) {
        empty = now;
    }

    /** Bytes of buffers that were not given back. */
    long held() {
        return source.metric().usedHeapMemory() + source.metric().usedDirectMemory();
    }

    @Override
    protected ByteBuf newHeapBuffer(int initial, int most) {
        check();
        return source.heapBuffer(initial, most);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initial, int most) {
        check();
        return source.directBuffer(initial, most);
    }

    /** As Netty says it when the limit for direct memory is reached. */
    private void check() {
        if (empty) {
            throw new OutOfMemoryError("no direct memory in this scenario");
        }
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }
}
