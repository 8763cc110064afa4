package loadbalancer.faults;

/** A client that connects and says nothing, until the balancer ends it. */
final class Idler implements End.Owner, VirtualNetwork.Connecting {
    private End end;

    @Override
    public void up(End near) {
        end = near;
        near.owner(this);
    }

    @Override
    public void refused() {}

    @Override
    public void readable() {
        end.take(Integer.MAX_VALUE);
    }

    @Override
    public void ended() {
        end.close();
    }

    @Override
    public void reset() {}

    @Override
    public void writable() {}
}
