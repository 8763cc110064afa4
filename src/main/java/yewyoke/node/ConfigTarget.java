package yewyoke.node;

import yewyoke.exchange.ServerList;
import yewyoke.settings.SettingsReader;

/** A running balancer, as whoever changes its configuration sees it; on the loop. */
public interface ConfigTarget {
    /** Settings that hold from now on; they are checked already. */
    void settings(SettingsReader.Found facts);

    /** The whole list of upstreams, as told from now on. */
    void list(ServerList whole);

    /** There is no list to be told. */
    void listUnavailable();
}
