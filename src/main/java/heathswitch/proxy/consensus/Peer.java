package heathswitch.proxy.consensus;

import java.net.InetSocketAddress;

/**
 * An instance that holds the log.
 *
 * @param address where this instance reaches it; others may know it by another
 * @param votes whether it is one of those whose majority settles an entry
 */
public record Peer(String name, InetSocketAddress address, boolean votes) {}
