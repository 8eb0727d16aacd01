package heathswitch.proxy.consensus;

import java.net.InetSocketAddress;

/**
 * An instance that keeps a copy of the replicated log.
 *
 * @param address where this instance reaches it; other instances may reach it at another address
 * @param votes whether it is initially one of the voters, whose majority commits an entry
 */
public record Peer(String name, InetSocketAddress address, boolean votes) {}
