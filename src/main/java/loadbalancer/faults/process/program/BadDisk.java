package loadbalancer.faults.process.program;

import java.io.IOException;
import java.util.Arrays;
import java.util.function.Supplier;
import loadbalancer.snapshot.Storage;

/** A disk that is full or refuses while its odds say so. */
final class BadDisk implements Storage {
    private final Storage real;
    private final Supplier<Odds> odds;

    BadDisk(Storage real, Supplier<Odds> odds) {
        this.real = real;
        this.odds = odds;
    }

    private void refuse() throws IOException {
        if (odds.get().diskRefuses()) {
            throw new IOException("Permission denied, by order");
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        refuse();
        if (odds.get().diskFull()) {
            real.write(name, Arrays.copyOf(bytes, bytes.length / 2));
            throw new IOException("No space left on device, by order");
        }
        real.write(name, bytes);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        refuse();
        real.rename(from, to);
    }

    @Override
    public boolean has(String name) {
        return real.has(name);
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        refuse();
        return real.read(name, most);
    }

    @Override
    public void sync() throws IOException {
        refuse();
        real.sync();
    }
}
